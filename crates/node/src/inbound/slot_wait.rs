//! Waiting for a slot of the backend server.

use std::{rc::Rc, time::Duration};

use tokio::{sync::oneshot, time::timeout_at};

use super::{
    AdmissionDecision, AdmissionRequest, InboundError, InboundProxy, InboundRequest, QueueKey,
    RefusalReason, RunSlot,
    inbound_proxy::{InboundState, RETRY_OTHER_NODE_AFTER, refused},
};

/// What a request gets that waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlotOffer {
    /// The request runs.
    Granted,
    /// The request can't start in time any more.
    Displaced {
        /// Time after which the queue is expected to accept a request.
        retry_after: Duration,
    },
}

/// Position in the admission queue, withdrawn when dropped before it is settled.
struct QueuePlace<'a> {
    inner: &'a Rc<InboundState>,
    key: QueueKey,
    route_hash: u64,
    offered: oneshot::Receiver<SlotOffer>,
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
        let displaced = matches!(self.offered.try_recv(), Ok(SlotOffer::Displaced { .. }));
        if !waited && !displaced {
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
            account: request.account.as_ref().map(|account| account.name_hash),
            fingerprint: Some(request.fingerprint),
            is_nested: request.is_nested,
            may_wait: request.may_wait,
            is_only_member: request.is_only_member,
            target_deadline: self.inner.clock.time_of(request.target_deadline),
            ends_at: self.inner.clock.time_of(request.ends_at),
        };
        let now = self.inner.clock.now();
        let decision = self.inner.queue.borrow_mut().admit(now, admission_request);
        self.inner.refuse_displaced();
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
        let (offer, offered) = oneshot::channel();
        self.inner.waiters.borrow_mut().insert(key, offer);
        let mut place = QueuePlace {
            inner: &self.inner,
            key,
            route_hash,
            offered,
            settled: false,
        };
        self.inner.schedule_limited_start();
        let latest = self.inner.clock.instant_of(latest);
        match timeout_at(latest, &mut place.offered).await {
            Ok(Ok(SlotOffer::Displaced { retry_after })) => {
                place.settled = true;
                return refused(self.shortage(), retry_after);
            }
            Ok(_granted) => {
                place.settled = true;
                return Ok(RunSlot::new(Rc::clone(&self.inner), route_hash, true));
            }
            Err(_elapsed) => {}
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
