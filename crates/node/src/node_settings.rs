//! Validated settings of a node.

use std::{net::SocketAddr, time::Duration};

use crate::{accounts::AccountTerms, request_body::MemoryLimits, retry::RetryLimits};

/// Addresses on which a node listens, by who connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddrs {
    /// Callers on this machine, including the local backend server.
    pub callers: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Readiness checks.
    pub readiness: SocketAddr,
    /// Heartbeats and deregistrations of the backend server.
    pub reports: SocketAddr,
    /// Operators' programs, which read metrics, status and members; none to serve none.
    pub metrics: Option<SocketAddr>,
}

/// Validated settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the instance, which labels log lines and metrics.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Name of the service that the local backend server provides.
    pub service: String,
    /// Address of the local backend server.
    pub endpoint: SocketAddr,
    /// Whether the whole fleet starts for the first time, so that no node is announced yet.
    pub first_start: bool,
    /// Address at which other nodes reach this one.
    pub peer_addr: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenAddrs,
    /// Longest time that a connection to another node may take to open.
    pub peer_connect_timeout: Duration,
    /// Longest idle time after which a connection to another node is reused.
    pub peer_idle_timeout: Duration,
    /// Time in which a leaving backend server may still get new requests. It counts from
    /// the acknowledgment of the leaving.
    pub leaving_time: Duration,
    /// Time after the acknowledgment of a configuration in which it comes into force everywhere.
    pub config_time: Duration,
    /// Time between the signal to stop and the kill of the process.
    pub shutdown_timeout: Duration,
    /// Bandwidth of the instance's network link, in megabits per second.
    pub link_mbps: f64,
    /// Limits on the memory of request bodies.
    pub body_memory: MemoryLimits,
    /// Largest number of open connections of callers.
    pub max_connections: usize,
    /// Whether operators order rollouts. Versions without an order are held back then.
    pub has_rollouts: bool,
    /// Limits on the retries of all nodes together.
    pub retries: RetryLimits,
    /// Settings of client accounts; none where configurations hold no accounts.
    pub accounts: Option<AccountTerms>,
}
