//! Settings of the node's control thread.

use std::net::SocketAddr;

use geranium_model::DataCentre;

/// What the core needs to know besides its own row.
#[derive(Debug, Clone, Default)]
pub struct FleetSettings {
    /// Control addresses to join through, besides the platform's seeds key.
    pub seeds: Vec<SocketAddr>,
    /// Data centres of the fleet, whose seeds keys an isolated node reads.
    pub data_centres: Vec<DataCentre>,
    /// Instances that the fleet is planned for.
    ///
    /// Platform calls are budgeted by it until more members are known: a node
    /// that comes up empty can't tell whether it is alone or one of a herd.
    pub planned_members: u32,
}
