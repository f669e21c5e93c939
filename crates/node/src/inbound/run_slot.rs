//! A slot of the backend server, held by one request.

use std::rc::Rc;

use tokio::time::Instant;

use super::inbound_proxy::InboundState;
use crate::transport::PooledSender;

/// A slot of the backend server, held by one request until its answer is made.
///
/// A long answer is made once its head is there: what remains is the link's
/// work, and the slot is free for the next request. Dropped early, it counts as
/// cut short. The connection is held until the answer ends; dropped before, it
/// is closed, which cancels the run.
#[derive(Debug)]
pub struct RunSlot {
    inner: Rc<InboundState>,
    route_hash: u64,
    started: Instant,
    sender: Option<PooledSender>,
    released: bool,
}

impl RunSlot {
    pub(super) fn new(inner: Rc<InboundState>, route_hash: u64) -> Self {
        Self {
            inner,
            route_hash,
            started: Instant::now(),
            sender: None,
            released: false,
        }
    }

    pub(super) fn hold_connection(&mut self, sender: PooledSender) {
        self.sender = Some(sender);
    }

    /// Gives the slot back: the answer is made.
    pub fn release(&mut self) {
        if !std::mem::replace(&mut self.released, true) {
            self.inner
                .finish(self.route_hash, Some(self.started.elapsed()));
        }
    }

    /// Gives slot and connection back after a whole answer.
    pub fn complete(mut self) {
        if let Some(sender) = self.sender.take() {
            self.inner.endpoint_pool.give_back(sender);
        }
        self.release();
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        if !self.released {
            self.inner.finish(self.route_hash, None);
        }
    }
}
