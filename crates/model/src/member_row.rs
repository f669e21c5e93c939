//! One instance as the whole fleet sees it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, Incarnation, InstanceName, MemberState, RegionName, ServiceName};

/// A backend server instance and the node beside it.
///
/// Of two rows for one instance the higher incarnation wins, then the later
/// state ([`MemberRow::supersedes`]).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name from the node's settings, unique in the fleet.
    pub instance: InstanceName,
    /// Rises with every start and every refuted suspicion.
    pub incarnation: Incarnation,
    /// Start of the node process that this row speaks of.
    ///
    /// Unlike `incarnation` it stays the same when a suspicion is refuted:
    /// at-most-once tickets are bound to it.
    pub started: Incarnation,
    /// State in the life cycle.
    pub state: MemberState,
    /// Service that the backend server gives; `None` until it announces
    /// itself.
    pub service: Option<ServiceName>,
    /// Data centre from the node's settings.
    pub data_centre: DataCentre,
    /// Region from the node's settings.
    pub region: RegionName,
    /// Address that takes control messages from other nodes.
    pub control_addr: SocketAddr,
    /// Address that takes requests from other nodes.
    pub data_addr: SocketAddr,
    /// Admin address, for the operators' client.
    pub admin_addr: SocketAddr,
    /// Requests the backend server runs at a time, as announced.
    pub slots: u16,
}

impl MemberRow {
    /// Reports whether this row replaces `other`, a row of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
