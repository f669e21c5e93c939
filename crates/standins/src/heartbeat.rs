//! Heartbeats and deregistrations that backend servers post to their node.

use std::net::SocketAddr;

/// State that a backend server reports in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// Accepts requests.
    Ready,
    /// Is about to stop and accepts no new requests.
    Draining,
}

/// One heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Identifier of the backend server.
    pub instance: String,
    /// Start time in Unix milliseconds; `None` for a backend server that doesn't report
    /// it.
    pub born_ms: Option<u64>,
    /// Service that the backend server runs.
    pub service: String,
    /// Address on which the backend server listens.
    pub address: SocketAddr,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// Version of the backend server's software.
    pub version: String,
    /// Requests that the backend server runs concurrently.
    pub slots: u32,
    /// Reported state.
    pub state: HeartbeatState,
    /// Sequence number, which grows with each heartbeat.
    pub sequence: u64,
}

impl Heartbeat {
    /// Returns the path to which the heartbeat is posted.
    pub fn path(&self) -> String {
        format!("/instances/{}/heartbeat", self.instance)
    }

    /// Returns the JSON body of the heartbeat.
    pub fn body(&self) -> String {
        let state = match self.state {
            HeartbeatState::Ready => "ready",
            HeartbeatState::Draining => "draining",
        };
        let born_field = self
            .born_ms
            .map_or(String::new(), |born_ms| format!(r#","born":{born_ms}"#));
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"{}","Slots":{},"State":"{state}","ColdRemainingS":0.5,"Seq":{},"New":1{born_field}}}"#,
            self.service, self.address, self.data_centre, self.version, self.slots, self.sequence
        )
    }
}

/// Returns the JSON body of a deregistration.
pub fn deregistration_body(born_ms: u64) -> String {
    format!(r#"{{"born":{born_ms}}}"#)
}

/// Returns the path to which a backend server posts its deregistration.
pub fn deregistration_path(instance: &str) -> String {
    format!("/instances/{instance}/deregister")
}
