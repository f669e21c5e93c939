//! Guard that counts an open connection.

use std::rc::Rc;

use super::NodeCore;

/// Counts a connection as open until the guard is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(pub(super) Rc<NodeCore>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open_connections = self.0.open_connections.get();
        self.0
            .open_connections
            .set(open_connections.saturating_sub(1));
    }
}
