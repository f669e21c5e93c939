//! Guard for a request in flight at a member.

use std::{net::SocketAddr, rc::Rc};

use crate::{member::MemberKey, node_core::NodeCore, transport::PooledConnection};

/// Counts a request as outstanding at a member until the guard is dropped.
///
/// The guard also holds the connection and returns it to the pool after a whole response.
#[derive(Debug)]
pub struct InFlightGuard {
    core: Rc<NodeCore>,
    key: MemberKey,
    peer_addr: SocketAddr,
    /// Connection on which the response arrives; none before its head has arrived.
    sender: Option<PooledConnection>,
}

impl InFlightGuard {
    /// Counts a request as outstanding at `key`, the member whose node is at `peer_addr`.
    pub fn new(core: &Rc<NodeCore>, key: MemberKey, peer_addr: SocketAddr) -> Self {
        core.fleet.borrow_mut().record_request_sent(key);
        core.peers_in_use.borrow_mut().record_sent(peer_addr);
        Self {
            core: Rc::clone(core),
            key,
            peer_addr,
            sender: None,
        }
    }

    /// Returns the key of the member that the request was sent to.
    pub const fn key(&self) -> MemberKey {
        self.key
    }

    /// Keeps the connection on which the response arrives until the guard is dropped.
    pub fn hold_connection(&mut self, sender: PooledConnection) {
        self.sender = Some(sender);
    }

    /// Ends the guard after a whole response and returns the connection to the pool.
    pub fn complete(mut self) {
        if let Some(sender) = self.sender.take() {
            self.core.peer_connections.put_back(sender);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let core = &self.core;
        core.fleet.borrow_mut().record_request_ended(self.key);
        core.peers_in_use.borrow_mut().record_ended(self.peer_addr);
    }
}
