//! What the owner remembers of a used ticket.

use super::{caller_tag::CallerTag, run_key::RunKey};

/// Progress of a ticket's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordState {
    /// Every attempt so far is proved not to have run; another may.
    NotRun,
    /// The caller was told that it did not run, so it never may.
    Retired,
    /// An attempt was handed to the backend server.
    Running,
    /// It was answered; the answer store may hold the answer.
    Ran,
    /// An attempt broke off.
    Broke,
}

/// Record of one used ticket.
#[derive(Debug, Clone, Copy)]
pub(super) struct TicketRecord {
    pub(super) fingerprint: u64,
    pub(super) caller: CallerTag,
    pub(super) state: RecordState,
    pub(super) attempt: u32,
    pub(super) minted_ms: u64,
}

impl TicketRecord {
    /// Starts the next attempt.
    pub(super) fn begin(&mut self, sequence: u64) -> RunKey {
        self.attempt += 1;
        self.state = RecordState::Running;
        RunKey {
            sequence,
            attempt: self.attempt,
        }
    }
}
