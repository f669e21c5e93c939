//! Guard that counts an open listener.

use std::rc::Rc;

use super::NodeCore;

/// Counts a listener as open until the guard is dropped.
#[derive(Debug)]
pub struct ListenerGuard(pub(super) Rc<NodeCore>);

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        let open_listeners = self.0.open_listeners.get();
        self.0.open_listeners.set(open_listeners.saturating_sub(1));
    }
}
