//! Checked settings of a node.

use std::{net::SocketAddr, time::Duration};

use crate::retry::RetryLimits;

/// Addresses on which a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Callers on this machine, the backend server among them.
    pub callers: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Heartbeats of the backend server.
    pub reports: SocketAddr,
    /// Metrics.
    pub metrics: Option<SocketAddr>,
}

/// Settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the instance, for the log.
    pub instance: String,
    /// Data centre.
    pub data_centre: String,
    /// Service of the backend server beside this node.
    pub service: String,
    /// Address of that backend server.
    pub endpoint: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Address at which other nodes reach this one.
    pub peer_addr: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenAddrs,
    /// Longest time that a connection to another node may take to open.
    pub peer_connect_timeout: Duration,
    /// Longest use of an idle connection to another node.
    pub peer_idle_timeout: Duration,
    /// Time after the acknowledgment of its leaving in which a backend server
    /// may get new work.
    pub leaving_time: Duration,
    /// Time from the signal to stop to the kill.
    pub shutdown_timeout: Duration,
    /// Megabits a second of the instance's link.
    pub link_mbps: f64,
    /// Bound on retries.
    pub retries: RetryLimits,
}
