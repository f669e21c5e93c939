//! Admission of requests that are suspected of crashing backend servers.

use std::{rc::Rc, time::Duration};

use tokio::{sync::SemaphorePermit, time::timeout_at};

use super::{
    InboundError, InboundProxy, InboundRequest, RefusalReason,
    inbound_proxy::{InboundState, RETRY_OTHER_NODE_AFTER, refused},
};

/// Pause of starts at the backend server, which ends when this value is dropped.
#[derive(Debug)]
pub(super) struct StartPause {
    inner: Rc<InboundState>,
}

impl Drop for StartPause {
    fn drop(&mut self) {
        self.inner.resume_starts();
    }
}

impl InboundProxy {
    /// Refuses a request that has crashed backend servers. A suspect, which was running at a crash,
    /// waits for a permit, which it holds while it runs.
    ///
    /// Only one suspect runs at a time. Of the dozen requests that are running when a server
    /// crashes, one causes the crash. Were they all retried together, they would all be running at
    /// the second crash as well, and be refused with the one that causes it.
    ///
    /// # Errors
    ///
    /// Fails if the request may not run here, or if it gets no permit before `ends_at`.
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
        // The previous holder of the permit may have been this same request, sent twice, and may
        // have crashed a backend server.
        self.refuse_poisoned(request.fingerprint)?;
        Ok(permit)
    }

    /// Pauses starts of other requests until the returned guard is dropped.
    ///
    /// A request that crashes the backend server does so when it starts. Had another one started
    /// beside the suspect, the suspect would be counted at that crash as well. `None` if other
    /// requests are waiting for slots, which are then needed.
    pub(super) fn pause_starts(&self) -> Option<StartPause> {
        let paused = self.inner.queue.borrow_mut().pause_starts();
        paused.then(|| StartPause {
            inner: Rc::clone(&self.inner),
        })
    }

    fn refuse_poisoned(&self, fingerprint: u64) -> Result<(), InboundError> {
        let now = self.inner.clock.now();
        let retry_after: Option<Duration> = self.crashes.borrow().refusal(now, fingerprint);
        match retry_after {
            Some(retry_after) => refused(RefusalReason::Poisoned, retry_after),
            None => Ok(()),
        }
    }
}
