//! Preview of the admission of a request that hasn't been sent yet.

use super::{
    AdmissionRequest, InboundError, InboundProxy, RefusalReason,
    inbound_proxy::{RETRY_OTHER_NODE_AFTER, refused},
};

impl InboundProxy {
    /// Decides whether a request for `instance` would be admitted.
    ///
    /// Nothing is reserved: a request that follows at once may still be refused.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the request would get.
    pub fn preview(
        &self,
        request: AdmissionRequest,
        instance: Option<&str>,
    ) -> Result<(), InboundError> {
        if self.refuses_by_rollout() {
            return refused(RefusalReason::Leaving, RETRY_OTHER_NODE_AFTER);
        }
        let now = self.inner.clock.now();
        let grace = self.settings.leaving_grace;
        if let Err(reason) = self.tracker.borrow().admits(now, instance, grace) {
            return refused(reason, RETRY_OTHER_NODE_AFTER);
        }
        self.preview_by_calls(now, request.route_hash, request.is_nested, request.ends_at)?;
        let previewed = self.inner.queue.borrow_mut().preview(now, request);
        previewed.or_else(|retry_after| refused(self.shortage(), retry_after))
    }
}
