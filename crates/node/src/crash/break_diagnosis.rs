//! Diagnosis of a connection to the backend server that broke while a request ran.

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::member::EndpointStart;

/// Cause of a connection that broke while a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BreakCause {
    /// The backend server has crashed: its address refuses connections, or another start
    /// of it listens there.
    Crashed,
    /// The backend server still runs, and only the response was lost.
    AnswerLost,
    /// The probe couldn't tell whether the backend server still runs.
    Unclear,
}

/// Result of probing a backend server whose connection broke while a request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BreakDiagnosis {
    /// Why the connection broke.
    pub cause: BreakCause,
    /// Start of the backend server that ran the request.
    pub start: EndpointStart,
}

impl BreakDiagnosis {
    /// Returns whether the request may have crashed the backend server.
    ///
    /// A suspicious request might crash the next backend server, too.
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
