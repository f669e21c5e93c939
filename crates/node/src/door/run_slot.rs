//! A slot of the backend server, held by one request.

use std::rc::Rc;

use tokio::time::Instant;

use super::door_flow::DoorInner;
use crate::hop::PooledSender;

/// A slot of the backend server, held by one request until its answer ends.
///
/// Dropped early, it counts as cut short and its connection is closed, which
/// cancels the run.
#[derive(Debug)]
pub struct RunSlot {
    inner: Rc<DoorInner>,
    class: u64,
    started: Instant,
    sender: Option<PooledSender>,
    ended: bool,
}

impl RunSlot {
    pub(super) fn new(inner: Rc<DoorInner>, class: u64) -> Self {
        Self {
            inner,
            class,
            started: Instant::now(),
            sender: None,
            ended: false,
        }
    }

    pub(super) fn hold(&mut self, sender: PooledSender) {
        self.sender = Some(sender);
    }

    /// Gives the slot and the connection back after a whole answer.
    pub fn complete(mut self) {
        self.ended = true;
        if let Some(sender) = self.sender.take() {
            self.inner.endpoints.give_back(sender);
        }
        self.inner.finish(self.class, Some(self.started.elapsed()));
    }
}

impl Drop for RunSlot {
    fn drop(&mut self) {
        if !self.ended {
            self.inner.finish(self.class, None);
        }
    }
}
