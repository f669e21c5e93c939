//! What the backend server tells the node beside it.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use super::BackendOptions;

/// A node on the same instance answers within microseconds.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of `POST /announce` at a node's admin port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that the backend server gives.
    pub service: String,
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Requests it runs at a time.
    pub slots: u16,
    /// Connections it can hold.
    pub connections: u16,
    /// Start of the backend server in milliseconds since the Unix epoch; the
    /// same in every heartbeat of one process.
    pub announced: u64,
    /// Set once it is leaving and takes no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

impl Announcement {
    /// Makes the first announcement of a server that listens on `address`.
    pub(super) fn of_start(options: &BackendOptions, address: SocketAddr) -> Self {
        Self {
            service: options.service.clone(),
            address,
            slots: options.slots,
            connections: options.connections,
            announced: epoch_ms(),
            draining: false,
        }
    }

    /// Sends it to a node's admin port and reports whether the node took it.
    pub(super) fn send(&self, admin: SocketAddr) -> bool {
        let sent = attohttpc::post(format!("http://{admin}/announce"))
            .timeout(ANNOUNCE_TIMEOUT)
            .json(self)
            .and_then(attohttpc::RequestBuilder::send);
        sent.is_ok_and(|answer| answer.is_success())
    }
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub(super) fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
