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
    /// It never ran and never will: an earlier copy was answered "not run".
    Retired,
    /// It is refused.
    Refuse(ResultCode),
}

impl LedgerVerdict {
    /// Returns what may be said about the request as a whole.
    ///
    /// "Not run" holds for good, also against copies still on their way:
    /// callers answer it with a new ticket. A ledger without room for a record
    /// can't promise that, so its refusal leaves the question open and the
    /// caller asks again with the same ticket.
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::Replay(_) | Self::RanAnswerDropped => Outcome::Ran,
            Self::Retired | Self::Refuse(ResultCode::TicketReused) => Outcome::NotRun,
            Self::Run(_) | Self::Running | Self::MaybeRan | Self::Refuse(_) => Outcome::MaybeRun,
        }
    }
}
