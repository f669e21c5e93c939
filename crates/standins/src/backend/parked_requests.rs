//! Requests that a frozen server holds.

use std::sync::{Mutex, PoisonError};

use tiny_http::Request;

/// Requests kept aside without a thread each until the server thaws.
#[derive(Default)]
pub(super) struct ParkedRequests(Mutex<Vec<Request>>);

impl std::fmt::Debug for ParkedRequests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ParkedRequests").finish_non_exhaustive()
    }
}

impl ParkedRequests {
    pub(super) fn push(&self, request: Request) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
    }

    pub(super) fn take_all(&self) -> Vec<Request> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
