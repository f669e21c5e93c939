//! Keeping requests that crash backend servers away from this one.

use std::time::Duration;

use tokio::{sync::SemaphorePermit, time::timeout_at};

use super::{
    InboundError, InboundProxy, InboundRequest, RefusalReason,
    inbound_proxy::{RETRY_OTHER_NODE_AFTER, refused},
};

impl InboundProxy {
    /// Refuses a request that has crashed backend servers, and lets one that was running
    /// when one crashed wait for its turn, which it holds while it runs.
    ///
    /// Only one such request runs at a time. Of the dozen that are running when a server
    /// crashes one is guilty. Were they sent again together, they would all be running at
    /// the second crash, too, and be refused with the one that causes it.
    ///
    /// # Errors
    ///
    /// When it may not run here, or its turn doesn't come in its time.
    pub(super) async fn admit_fingerprint(
        &self,
        request: &InboundRequest,
    ) -> Result<Option<SemaphorePermit<'_>>, InboundError> {
        self.refuse_poisoned(request.fingerprint)?;
        let now = self.inner.clock.now();
        if !self.crashes.borrow().is_suspect(now, request.fingerprint) {
            return Ok(None);
        }
        let permit = if request.may_wait {
            let permit = timeout_at(request.ends_at, self.suspect_semaphore.acquire()).await;
            permit.ok().and_then(Result::ok)
        } else {
            self.suspect_semaphore.try_acquire().ok()
        };
        if permit.is_none() {
            return refused(RefusalReason::Busy, RETRY_OTHER_NODE_AFTER);
        }
        // The one before may have been this very request, sent twice.
        self.refuse_poisoned(request.fingerprint)?;
        Ok(permit)
    }

    fn refuse_poisoned(&self, fingerprint: u64) -> Result<(), InboundError> {
        let now = self.inner.clock.now();
        let refusal: Option<Duration> = self.crashes.borrow().refusal(now, fingerprint);
        match refusal {
            Some(retry_after) => refused(RefusalReason::Poisoned, retry_after),
            None => Ok(()),
        }
    }
}
