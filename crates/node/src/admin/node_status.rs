//! Status of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Proof of freshness of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofStatus {
    /// Age of the last proof in milliseconds; none if there was none.
    pub age_ms: Option<u64>,
    /// Milliseconds for which requests with a key are still served; none if they are refused.
    pub remaining_ms: Option<u64>,
}
use crate::quota::QuotaStatus;

/// Status of a node, as its status page shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the machine (platform instance) on which the node runs.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Service that the settings named at the node's start.
    pub service: String,
    /// Address at which other nodes reach this one.
    #[serde(rename = "hop")]
    pub peer_addr: SocketAddr,
    /// Version of the configuration in force; 0 while there is none.
    pub version: u64,
    /// Number of members that the node knows.
    pub members: usize,
    /// Milliseconds since the store last responded to this node.
    ///
    /// Before the first response, they count from the node's start.
    pub store_age_ms: u64,
    /// Address of the node that keeps this node's announcement in the store; none if this node
    /// does so itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registrar: Option<SocketAddr>,
    /// Number of other nodes whose announcements this node keeps in the store.
    #[serde(default)]
    pub registered_members: usize,
    /// Current start of the local backend server; none while none is known.
    ///
    /// The start may be leaving or dead.
    pub backend: Option<String>,
    /// Number of requests that run at the local backend server.
    pub running: u32,
    /// Number of requests that wait for a slot of the local backend server.
    pub waiting: u32,
    /// Limit that the local backend server names, in thousandths of a request per second; none if it
    /// names no limit.
    #[serde(default)]
    pub limit_milli_per_s: Option<u64>,
    /// Proof that the configuration is fresh; none where requests with a key need no proof.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<ProofStatus>,
    /// Pace that the local backend server reported last, in percent of the usual run time; none if
    /// it reported none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace_percent: Option<u32>,
    /// Milliseconds since that report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace_age_ms: Option<u64>,
    /// Whether the pace is used now, because it helps to predict run times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace_used: Option<bool>,
    /// Owners of quota shards, and use of quotas here; none where quotas aren't in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quotas: Option<QuotaStatus>,
    /// Whether the readiness check of the node passes.
    pub ready: bool,
}
