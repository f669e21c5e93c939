//! What a rollout demands of the inbound proxy.

use std::time::Duration;

use http::Response;
use tokio::time::Instant;

use super::{InboundError, InboundProxy, endpoint_call::NestedCallRefused};
use crate::{
    member::EndpointStart,
    response_body::ResponseBody,
    rollout::{RunCounts, RunOutcome},
};

impl InboundProxy {
    /// Begins the refusal of requests for the start `suspended` because of a rollout, or ends it.
    /// Returns whether that changed anything.
    ///
    /// Requests are refused at once, or else after [`leaving_grace`], in which other nodes learn
    /// that they have to send them elsewhere.
    ///
    /// [`leaving_grace`]: super::InboundSettings::leaving_grace
    pub fn suspend(&self, suspended: Option<EndpointStart>, at_once: bool) -> bool {
        let is_new = suspended.is_some() != self.is_suspended();
        *self.suspended_start.borrow_mut() = suspended;
        if !is_new {
            return false;
        }
        let grace = if at_once {
            Duration::ZERO
        } else {
            self.settings.leaving_grace
        };
        let from = self.inner.clock.now() + grace;
        self.suspended_from.set(from);
        true
    }

    /// Whether a rollout keeps requests away from this start of the backend server.
    pub fn is_start_suspended(&self, start: &EndpointStart) -> bool {
        self.suspended_start.borrow().as_ref() == Some(start)
    }

    /// Whether a rollout keeps new requests away from the backend server.
    pub fn is_suspended(&self) -> bool {
        self.suspended_start.borrow().is_some()
    }

    /// Whether requests are refused because of a rollout.
    pub(super) fn refuses_by_rollout(&self) -> bool {
        self.is_suspended() && self.inner.clock.now() >= self.suspended_from.get()
    }

    /// Whether requests are refused because of a rollout and none is at the backend server, nor a
    /// response on its way from there.
    pub fn is_drained(&self) -> bool {
        self.refuses_by_rollout() && self.inner.open_slots.get() == 0
    }

    /// Returns the current start of the backend server; none while none is known.
    pub fn current_start(&self) -> Option<EndpointStart> {
        let tracker = self.tracker.borrow();
        tracker
            .current()
            .map(|current| current.report.start.clone())
    }

    /// Returns the counts of runs at the current start by route hash.
    pub fn run_counts(&self) -> Vec<(u64, RunCounts)> {
        self.ledger.borrow().counts()
    }

    /// Counts a run that began at `began`. `result` is none if no response came in time.
    pub(super) fn count_run(
        &self,
        start: &EndpointStart,
        route_hash: u64,
        began: Instant,
        result: Option<&Result<Response<ResponseBody>, InboundError>>,
    ) {
        let outcome = match result {
            Some(Err(InboundError::Refused { .. })) => return,
            // The cause is a shortage of another service and not this version.
            Some(Ok(response)) if response.extensions().get::<NestedCallRefused>().is_some() => {
                return;
            }
            Some(Ok(response)) if !response.status().is_server_error() => {
                if self.was_cold(began) {
                    RunOutcome::SucceededCold
                } else {
                    RunOutcome::Succeeded(began.elapsed())
                }
            }
            Some(Ok(_) | Err(InboundError::ResponseLost { .. })) | None => RunOutcome::Failed,
        };
        self.ledger.borrow_mut().record(start, route_hash, outcome);
    }

    /// Whether the backend server was in its slow start at `began`.
    fn was_cold(&self, began: Instant) -> bool {
        let tracker = self.tracker.borrow();
        let current = tracker.current();
        current.is_some_and(|current| self.inner.clock.time_of(began) < current.cold_until)
    }
}
