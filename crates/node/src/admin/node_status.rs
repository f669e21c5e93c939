//! A node's state in a few figures.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A node's state in a few figures, as its status page shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Instance on which the node runs.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Service of its backend server.
    pub service: String,
    /// Address at which other nodes reach it.
    #[serde(rename = "hop")]
    pub peer_addr: SocketAddr,
    /// Version of the configuration in force; 0 before the first.
    pub version: u64,
    /// Members that it knows.
    pub members: usize,
    /// Milliseconds since the store last answered it.
    pub store_age_ms: u64,
    /// Start of the backend server that lives beside it, if one is known.
    pub backend: Option<String>,
    /// Requests that run at the backend server.
    pub running: u32,
    /// Requests that wait for it.
    pub waiting: u32,
    /// Whether it takes callers.
    pub ready: bool,
}
