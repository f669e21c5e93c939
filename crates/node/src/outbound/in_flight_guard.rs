//! The note of an open request at a member.

use std::rc::Rc;

use crate::{member::MemberKey, node_core::NodeCore, transport::PooledSender};

/// Counts a request as open at a member until dropped, and gives its
/// connection back after a whole answer.
#[derive(Debug)]
pub struct InFlightGuard {
    core: Rc<NodeCore>,
    key: MemberKey,
    sender: Option<PooledSender>,
}

impl InFlightGuard {
    /// Notes that a request goes to `key`.
    pub fn new(core: &Rc<NodeCore>, key: MemberKey) -> Self {
        core.fleet.borrow_mut().request_sent(key);
        Self {
            core: Rc::clone(core),
            key,
            sender: None,
        }
    }

    /// Returns the member.
    pub const fn key(&self) -> MemberKey {
        self.key
    }

    /// Holds the connection that carries the answer.
    pub fn hold(&mut self, sender: PooledSender) {
        self.sender = Some(sender);
    }

    /// Ends the note after a whole answer.
    pub fn complete(mut self) {
        if let Some(sender) = self.sender.take() {
            self.core.peer_connections.put_back(sender);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.core.fleet.borrow_mut().request_ended(self.key);
    }
}
