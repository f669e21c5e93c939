//! Requests that are open.

use std::rc::Rc;

use super::NodeCore;

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenMark(pub(super) Rc<NodeCore>);

impl OpenMark {
    /// Notes bytes of the answer that were sent.
    pub fn sent(&self, bytes: u64) {
        let core = &self.0;
        core.link.sent(core.clock.now(), bytes);
    }
}

impl Drop for OpenMark {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}
