//! Requests that are open.

use std::rc::Rc;

use super::NodeCore;
use crate::link_meter::LinkPromise;

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenMark(pub(super) Rc<NodeCore>);

impl OpenMark {
    /// Notes bytes of the answer that were sent, as `promise` said if there
    /// is one.
    pub fn sent(&self, bytes: u64, promise: Option<&mut LinkPromise>) {
        let core = &self.0;
        let now = core.clock.now();
        match promise {
            Some(promise) => promise.sent(now, bytes),
            None => core.link.borrow_mut().sent(now, bytes),
        }
    }
}

impl Drop for OpenMark {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
