//! What was found of a backend server whose connection broke under a run.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::member::EndpointStart;

/// Why the connection of a run broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BreakCause {
    /// The backend server has crashed: nothing listens at its address, or another start of
    /// it does.
    Crashed,
    /// The backend server lives, and only the answer was lost.
    AnswerLost,
    /// It isn't known whether the backend server lives.
    Unclear,
}

/// What was found of a backend server whose connection broke under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakDiagnosis {
    /// Why the connection broke.
    pub cause: BreakCause,
    /// The start of the backend server that ran the request.
    pub start: EndpointStart,
}

impl BreakDiagnosis {
    /// Whether the request may have crashed the backend server, and would crash the next.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::{
    ///     crash::{BreakCause, BreakDiagnosis},
    ///     member::{EndpointStart, StartInput},
    /// };
    ///
    /// let instance = "till-1".to_owned();
    /// let start = EndpointStart::try_from(StartInput { instance, born_ms: None })?;
    /// let cause = BreakCause::AnswerLost;
    /// let lost = BreakDiagnosis { cause, start };
    /// assert!(!lost.is_suspicious());
    /// let cause = BreakCause::Unclear;
    /// assert!(BreakDiagnosis { cause, ..lost }.is_suspicious());
    /// # Ok::<(), geranium_node::member::StartError>(())
    /// ```
    pub fn is_suspicious(&self) -> bool {
        self.cause != BreakCause::AnswerLost
    }
}
