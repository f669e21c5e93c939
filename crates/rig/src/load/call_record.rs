//! What a caller sent, and what it got.

use std::time::Instant;

use geranium_standins::CallerResponse;
use serde::Serialize;
use strum::{Display, VariantArray};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Idempotent, short.
    Lookup,
    /// Must run once at most.
    Order,
    /// Idempotent, with a long answer.
    File,
    /// Idempotent and long; its caller leaves early.
    Abandoned,
    /// Idempotent; crashes each backend server that runs it, and is sent again at once.
    Crash,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// An answer came, whole.
    Answered {
        /// Its head.
        answer: CallerResponse,
        /// Whether the body is the one that belongs to the request.
        own: bool,
    },
    /// An answer began and broke off.
    Broken,
    /// The connection ended without an answer, after the request was sent.
    Closed,
    /// No connection, or a kept one closed before the request was sent.
    NotSent,
    /// Nothing came, long after the deadline.
    Silent,
    /// The caller left.
    Left,
}

/// What a caller sent, and what it got.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// Number of the node to which it was sent.
    pub node: usize,
    /// Kind.
    pub kind: CallKind,
    /// Path and query.
    pub path: String,
    /// Whether it was sent on a connection that had been used before.
    pub kept: bool,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How.
    pub outcome: CallOutcome,
}

impl CallRecord {
    /// Returns the status of the answer, if one came whole.
    pub fn status(&self) -> Option<u16> {
        match &self.outcome {
            CallOutcome::Answered { answer, .. } => Some(answer.status.as_u16()),
            _ => None,
        }
    }

    /// Whether it got a good answer.
    pub fn is_good(&self) -> bool {
        self.status() == Some(200)
    }

    /// Whether it was told that it hasn't run and won't.
    pub fn is_refused(&self) -> bool {
        match &self.outcome {
            CallOutcome::Answered { answer, .. } => answer.says_not_run(),
            _ => false,
        }
    }
}
