//! Guard that counts an open connection or listener.

use std::rc::Rc;

use super::NodeCore;

/// Counts a connection or a listener as open until the guard is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(pub(super) Rc<NodeCore>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open_sockets = self.0.open_sockets.get();
        self.0.open_sockets.set(open_sockets.saturating_sub(1));
    }
}
