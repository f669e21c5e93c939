//! A slot of the backend server, held by one request.

use std::rc::Rc;

use tokio::time::Instant;

use super::inbound_proxy::InboundState;
use crate::{
    pace::{FinishedRun, PaceRatio, RunPrediction},
    transport::PooledConnection,
};

/// A slot of the backend server, held by one request until its response is ready.
///
/// A long response is ready once its head has arrived: only its transfer on the link remains, and
/// the slot is free for the next request. A slot that is dropped before its release counts as an incomplete run.
/// The connection is held until the end of the response; dropping it earlier closes it, which
/// cancels the run.
#[derive(Debug)]
pub struct RunSlot {
    inner: Rc<InboundState>,
    route_hash: u64,
    started: Instant,
    /// Whether the request waited for the slot.
    has_waited: bool,
    /// Number of requests that ran when this one began.
    running_at_start: u32,
    /// Expected run time; none while the backend server reports no pace.
    prediction: Option<RunPrediction>,
    /// Pace that was reported with the response.
    pace: Option<PaceRatio>,
    /// Connection on which the response arrives; none before its head has arrived.
    sender: Option<PooledConnection>,
    /// Whether the slot has been freed; the response may still be in transfer.
    released: bool,
}

impl RunSlot {
    pub(super) fn new(inner: Rc<InboundState>, route_hash: u64, has_waited: bool) -> Self {
        inner.open_slots.set(inner.open_slots.get() + 1);
        let queue = inner.queue.borrow();
        let prediction = queue.predict_run(inner.clock.now(), route_hash);
        let running_at_start = queue.running();
        drop(queue);
        Self {
            inner,
            route_hash,
            started: Instant::now(),
            has_waited,
            running_at_start,
            prediction,
            pace: None,
            sender: None,
            released: false,
        }
    }

    /// Whether the request waited for the slot.
    pub(super) const fn has_waited(&self) -> bool {
        self.has_waited
    }

    /// Returns the number of requests that ran when this one began.
    pub(super) const fn running_at_start(&self) -> u32 {
        self.running_at_start
    }

    /// Sets the pace that was reported with the response.
    pub(super) const fn set_pace(&mut self, pace: Option<PaceRatio>) {
        self.pace = pace;
    }

    pub(super) fn hold_connection(&mut self, sender: PooledConnection) {
        self.sender = Some(sender);
    }

    /// Frees the slot and records the run time; further calls do nothing.
    pub fn release(&mut self) {
        if !std::mem::replace(&mut self.released, true) {
            self.inner.finish_run(FinishedRun {
                route_hash: self.route_hash,
                took: Some(self.started.elapsed()),
                pace: self.pace,
                prediction: self.prediction,
            });
        }
    }

    /// Frees the slot and returns the connection to the pool after a complete response.
    pub fn complete(mut self) {
        if let Some(sender) = self.sender.take() {
            self.inner.endpoint_pool.put_back(sender);
        }
        self.release();
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        let open_slots = &self.inner.open_slots;
        open_slots.set(open_slots.get().saturating_sub(1));
        if !self.released {
            self.inner.finish(self.route_hash, None);
        }
    }
}
