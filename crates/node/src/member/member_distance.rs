//! Network distance between a member and this node.

use std::net::SocketAddr;

use super::MemberRecord;

/// Network distance of a member from this node, ordered from near to far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum MemberDistance {
    /// On this node's instance: responses don't use the instance's link.
    SameInstance,
    /// In this node's data centre, on another instance.
    SameDataCentre,
    /// In another data centre: traffic is charged by the byte.
    OtherDataCentre,
}

/// Location of this node, from which distances are taken.
#[derive(Debug)]
pub(super) struct NodeLocation {
    pub(super) data_centre: String,
    /// Address at which the node's own backend server is announced, if it has one.
    pub(super) peer_addr: Option<SocketAddr>,
}

impl NodeLocation {
    /// Returns the distance of a member from this node.
    pub(super) fn distance(&self, record: &MemberRecord) -> MemberDistance {
        if self.peer_addr == Some(record.peer_addr) {
            MemberDistance::SameInstance
        } else if record.data_centre == self.data_centre {
            MemberDistance::SameDataCentre
        } else {
            MemberDistance::OtherDataCentre
        }
    }
}
