//! A run under way.

use super::{
    RequestDirections, RunEnd, backend_state::BackendState, call_head::CallHead,
    running_set::Cancellation, slot_gate::SlotGuard,
};

/// Holds a run's slot and takes cancellations until dropped.
///
/// It is dropped before the last byte of an answer is sent: a client that has
/// its answer may send the next request at once, and must find the slot free.
#[derive(Debug)]
pub(super) struct ActiveRun<'a> {
    state: &'a BackendState,
    run: u64,
    cancellation: Cancellation,
    _slot: SlotGuard<'a>,
}

impl<'a> ActiveRun<'a> {
    /// Records a run that starts.
    pub(super) fn start(
        state: &'a BackendState,
        slot: SlotGuard<'a>,
        call: &CallHead,
        directions: &RequestDirections,
    ) -> Self {
        let run = state.journal.start(call, &directions.path);
        let cancellation = state.running.insert(run, &call.request_id);
        Self {
            state,
            run,
            cancellation,
            _slot: slot,
        }
    }

    pub(super) fn cancellation(&self) -> &Cancellation {
        &self.cancellation
    }

    /// Records how the run ended.
    pub(super) fn end(&self, how: RunEnd) {
        self.state.journal.end(self.run, how);
    }
}

impl Drop for ActiveRun<'_> {
    fn drop(&mut self) {
        self.state.running.remove(self.run);
    }
}
