//! Waiting for a slot of the backend server.

use std::rc::Rc;

use tokio::{sync::oneshot, time::timeout_at};

use super::{
    DoorError, DoorFlow, DoorRequest, JobKey, JobOffer, OfferVerdict, RefusalReason, RunSlot,
    door_flow::{DoorInner, RETRY_ELSEWHERE, refused},
};

/// A place in the queue; dropped early, it is given up.
struct QueuePlace<'a> {
    inner: &'a Rc<DoorInner>,
    key: JobKey,
    class: u64,
    taken: bool,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.inner.waiters.borrow_mut().remove(&self.key);
        if self.taken {
            return;
        }
        let waited = self.inner.queue.borrow_mut().withdraw(self.key);
        if !waited {
            // Granted in the moment in which the caller left.
            self.inner.finish(self.class, None);
        }
    }
}

impl DoorFlow {
    /// Waits for a slot of the backend server.
    ///
    /// # Errors
    ///
    /// When there is none soon enough for the request.
    pub(super) async fn wait_for_slot(&self, request: &DoorRequest) -> Result<RunSlot, DoorError> {
        let class = request.class;
        let offer = JobOffer {
            rank: request.rank,
            class,
            begun: request.begun,
            may_wait: request.may_wait,
            useful_until: self.inner.clock.at(request.useful_until),
            ends_at: self.inner.clock.at(request.ends_at),
        };
        let now = self.inner.clock.now();
        let verdict = self.inner.queue.borrow_mut().offer(now, offer);
        let (key, latest) = match verdict {
            OfferVerdict::Run => return Ok(RunSlot::new(Rc::clone(&self.inner), class)),
            OfferVerdict::Busy => return refused(RefusalReason::Busy, RETRY_ELSEWHERE),
            OfferVerdict::Refuse { retry_after } => {
                return refused(RefusalReason::Full, retry_after);
            }
            OfferVerdict::Wait { key, latest } => (key, latest),
        };
        let (grant, granted) = oneshot::channel();
        self.inner.waiters.borrow_mut().insert(key, grant);
        let mut place = QueuePlace {
            inner: &self.inner,
            key,
            class,
            taken: false,
        };
        let latest = self.inner.clock.instant(latest);
        if timeout_at(latest, granted).await.is_ok() {
            place.taken = true;
            return Ok(RunSlot::new(Rc::clone(&self.inner), class));
        }
        // When it was granted in this very moment, the place frees the slot.
        place.taken = self.inner.queue.borrow_mut().expire(key);
        drop(place);
        let retry_after = self.inner.queue.borrow().wait();
        refused(RefusalReason::Full, retry_after.max(RETRY_ELSEWHERE))
    }
}
