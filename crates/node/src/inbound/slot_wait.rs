//! Waiting for a slot of the backend server.

use std::rc::Rc;

use tokio::{sync::oneshot, time::timeout_at};

use super::{
    AdmissionDecision, AdmissionRequest, InboundError, InboundProxy, InboundRequest, QueueKey,
    RefusalReason, RunSlot,
    inbound_proxy::{InboundState, RETRY_OTHER_NODE_AFTER, refused},
};

/// Position in the admission queue, withdrawn when dropped before it is settled.
struct QueuePlace<'a> {
    inner: &'a Rc<InboundState>,
    key: QueueKey,
    route_hash: u64,
    /// Whether the request got its slot or was removed from the queue.
    settled: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.inner.waiters.borrow_mut().remove(&self.key);
        if self.settled {
            return;
        }
        let waited = self.inner.queue.borrow_mut().withdraw(self.key);
        if !waited {
            // The slot was granted just as the caller left.
            self.inner.finish(self.route_hash, None);
        }
    }
}

impl InboundProxy {
    /// Waits for a slot of the backend server.
    ///
    /// # Errors
    ///
    /// Fails if no slot is free soon enough for the request.
    pub(super) async fn wait_for_slot(
        &self,
        request: &InboundRequest,
    ) -> Result<RunSlot, InboundError> {
        let route_hash = request.route_hash;
        let admission_request = AdmissionRequest {
            rank: request.rank,
            route_hash,
            is_nested: request.is_nested,
            may_wait: request.may_wait,
            target_deadline: self.inner.clock.time_of(request.target_deadline),
            ends_at: self.inner.clock.time_of(request.ends_at),
        };
        let now = self.inner.clock.now();
        let decision = self.inner.queue.borrow_mut().admit(now, admission_request);
        let (key, latest) = match decision {
            AdmissionDecision::Run => {
                return Ok(RunSlot::new(Rc::clone(&self.inner), route_hash, false));
            }
            AdmissionDecision::Busy => return refused(RefusalReason::Busy, RETRY_OTHER_NODE_AFTER),
            AdmissionDecision::Refuse { retry_after } => {
                return refused(self.shortage(), retry_after);
            }
            AdmissionDecision::Wait { key, latest } => (key, latest),
        };
        let (grant, granted) = oneshot::channel();
        self.inner.waiters.borrow_mut().insert(key, grant);
        let mut place = QueuePlace {
            inner: &self.inner,
            key,
            route_hash,
            settled: false,
        };
        self.inner.schedule_limited_start();
        let latest = self.inner.clock.instant_of(latest);
        if timeout_at(latest, granted).await.is_ok() {
            place.settled = true;
            return Ok(RunSlot::new(Rc::clone(&self.inner), route_hash, true));
        }
        // If a slot was granted just now, dropping the place frees it.
        place.settled = self.inner.queue.borrow_mut().expire(key);
        drop(place);
        let retry_after = self.inner.queue.borrow().wait(self.inner.clock.now());
        refused(self.shortage(), retry_after.max(RETRY_OTHER_NODE_AFTER))
    }

    /// Returns the reason of a refusal for lack of capacity: the limit or the slots.
    pub(super) fn shortage(&self) -> RefusalReason {
        let now = self.inner.clock.now();
        if self.inner.queue.borrow().is_limit_binding(now) {
            RefusalReason::Limited
        } else {
            RefusalReason::Full
        }
    }
}
