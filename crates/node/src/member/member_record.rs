//! What a node announces of its backend server.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::EndpointStart;

/// Whether a backend server takes work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Takes work.
    Ready,
    /// Finishes what it has; gets no new work.
    Leaving,
}

/// What a node announces of its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address at which the node takes requests of other nodes.
    #[serde(rename = "hop")]
    pub peer_addr: SocketAddr,
    /// Start of the backend server that this is of: `instance` and `born_ms` where
    /// it is written.
    #[serde(flatten)]
    pub start: EndpointStart,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: MemberState,
    /// Milliseconds for which it stays slow after its start, as of the
    /// announcement.
    pub cold_ms: u32,
    /// Megabits a second of its instance's link, by which nodes that carry
    /// news to others are chosen.
    pub link_mbps: u32,
    /// Number of the report on which this rests; later ones are greater.
    pub sequence: u64,
}

impl MemberRecord {
    /// Whether it tells other nodes all that matters of `other`: how long the backend
    /// server stays slow, and by which report, is of no use without another change.
    pub fn stands_for(&self, other: &Self) -> bool {
        let other = Self {
            cold_ms: self.cold_ms,
            sequence: self.sequence,
            ..other.clone()
        };
        *self == other
    }
}
