//! Announcements of backend servers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::{EndpointStart, EndpointVersion};

/// Whether a backend server takes new requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The backend server takes requests.
    Ready,
    /// The backend server finishes its requests and gets no new ones.
    Leaving,
}

/// Announcement of a backend server, which its node writes to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address at which the member's node takes requests from other nodes.
    #[serde(rename = "hop")]
    pub peer_addr: SocketAddr,
    /// Announced start of the backend server, written as `instance` and `born_ms`.
    #[serde(flatten)]
    pub start: EndpointStart,
    /// Name of the service that the backend server provides.
    pub service: String,
    /// Name of the data centre in which the instance runs.
    pub data_centre: String,
    /// Version of the backend server's software; none if it reports none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<EndpointVersion>,
    /// Whether a rollout keeps new requests away from the backend server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspended: bool,
    /// Number of requests that the backend server runs at a time.
    pub slots: u32,
    /// Whether the backend server takes new requests.
    pub state: MemberState,
    /// Whether the start has left for good: it has deregistered, or has said in a response that it
    /// leaves. No later report readmits it. Nodes of earlier versions don't know the field, and
    /// take such a member for one that is leaving.
    #[serde(rename = "final", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_final: bool,
    /// Start that left before the announced one was heard of, and may still run: late reports of it
    /// don't count. Nodes of earlier versions don't know the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_before: Option<EndpointStart>,
    /// Milliseconds for which the backend server is still slow after its start, counted from
    /// the announcement.
    pub cold_ms: u32,
    /// Capacity of the instance's link in megabits a second. Relays are selected by it, too.
    pub link_mbps: u32,
    /// Address of the registrar under whose lease the announcement is; none if the lease is that of
    /// the announced node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registrar: Option<SocketAddr>,
    /// Sequence number of the backend server's report behind this announcement; later
    /// reports have greater numbers.
    pub sequence: u64,
}

impl MemberRecord {
    /// Whether `other` needn't be announced while this announcement is in the store.
    ///
    /// The two may differ in `cold_ms` and `registrar`: other nodes have no use for a new value of
    /// these alone. They may differ in `sequence` unless `other` says leaving: by that number the next
    /// process of the node tells heartbeats from before the leaving, and this announcement may say
    /// leaving because the node stops.
    pub fn covers(&self, other: &Self) -> bool {
        let is_known = other.state == MemberState::Ready || self.sequence >= other.sequence;
        let other = Self {
            cold_ms: self.cold_ms,
            sequence: self.sequence,
            registrar: self.registrar,
            ..other.clone()
        };
        is_known && *self == other
    }
}
