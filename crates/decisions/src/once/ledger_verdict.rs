//! What the ledger says about a copy of a request.

use std::sync::Arc;

use geranium_model::{Outcome, ResultCode};

use super::{run_key::RunKey, stored_answer::StoredAnswer};

/// Verdict on one copy of a ticketed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// Hand it to the backend server, and report with this key.
    Run(RunKey),
    /// A copy is running.
    Running,
    /// It ran, and this is its answer.
    Replay(Arc<StoredAnswer>),
    /// It ran; its answer was too large to keep or had to make room.
    RanAnswerDropped,
    /// It was handed to the backend server and broke off; it never runs again.
    MaybeRan,
    /// It is refused.
    Refuse(ResultCode),
}

impl LedgerVerdict {
    /// Returns what may be said about the request as a whole.
    ///
    /// Guards against "not run" for a request that ran under the same ticket
    /// and was forgotten since: a caller would order again. Only a refusal
    /// that proves there was no run says so.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Replay(_) | Self::RanAnswerDropped => Outcome::Ran,
            Self::Refuse(
                ResultCode::TicketReused | ResultCode::QueueFull | ResultCode::CallerOverShare,
            ) => Outcome::NotRun,
            Self::Run(_) | Self::Running | Self::MaybeRan | Self::Refuse(_) => Outcome::MaybeRun,
        }
    }
}
