//! Records of requests and their outcomes.

use std::time::Instant;

use geranium_standins::CallerResponse;
use serde::Serialize;
use strum::{Display, VariantArray};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// An idempotent, short request.
    Lookup,
    /// A request that must run at most once.
    Order,
    /// An idempotent request with a long response.
    File,
    /// An idempotent, long request whose caller disconnects early.
    Abandoned,
    /// An idempotent request that crashes each backend server that runs it. Its caller
    /// sends it again at once.
    Crash,
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// A complete response arrived.
    Answered {
        /// Head of the response.
        answer: CallerResponse,
        /// Whether the response belongs to the request; always true unless the status is 2xx.
        own: bool,
    },
    /// A response started and broke off.
    Broken,
    /// The connection closed without a response after the request was sent.
    Closed,
    /// The caller couldn't connect, or a reused connection closed before the request
    /// was sent.
    NotSent,
    /// Nothing arrived until long after the deadline.
    Silent,
    /// The caller disconnected early.
    Left,
}

/// A caller's request and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// Number of the node to which the request was sent.
    pub node: usize,
    /// Kind of the request.
    pub kind: CallKind,
    /// Path and query of the request.
    pub path: String,
    /// Whether the request was sent on a reused connection.
    pub kept: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// When the outcome was known.
    pub ended: Instant,
    /// Outcome of the request.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Returns the status of the response; `None` if no complete response arrived.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            CallOutcome::Answered { answer, .. } => Some(answer.status.as_u16()),
            _ => None,
        }
    }

    /// Whether the response has status 200.
    pub fn is_good(&self) -> bool {
        self.status() == Some(200)
    }

    /// Whether the caller was told that the request hasn't run and won't run.
    pub fn is_refused(&self) -> bool {
        match &self.outcome {
            CallOutcome::Answered { answer, .. } => answer.says_not_run(),
            _ => false,
        }
    }
}
