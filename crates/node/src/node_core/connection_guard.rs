//! Guard that counts an open connection or listener.

use std::rc::Rc;

use super::NodeCore;

/// Counts a connection or a listener as open until the guard is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(pub(super) Rc<NodeCore>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open_connections = self.0.connections.get();
        self.0.connections.set(open_connections.saturating_sub(1));
    }
}
