//! Heartbeats and farewells of backend servers.

use std::net::SocketAddr;

/// State that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatState {
    /// Takes work.
    Ready,
    /// Is about to leave.
    Draining,
}

/// A heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Identifier of the backend server.
    pub instance: String,
    /// Unix milliseconds of its start, where it tells it.
    pub born_ms: Option<u64>,
    /// Service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// State.
    pub state: HeartbeatState,
    /// Number of the heartbeat.
    pub sequence: u64,
}

impl Heartbeat {
    /// Returns the path to which it is posted.
    pub fn path(&self) -> String {
        format!("/instances/{}/heartbeat", self.instance)
    }

    /// Returns the body.
    pub fn body(&self) -> String {
        let state = match self.state {
            HeartbeatState::Ready => "ready",
            HeartbeatState::Draining => "draining",
        };
        let born = self
            .born_ms
            .map_or(String::new(), |born_ms| format!(r#","born":{born_ms}"#));
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"{state}","ColdRemainingS":0.5,"Seq":{},"New":1{born}}}"#,
            self.service, self.address, self.data_centre, self.slots, self.sequence
        )
    }
}

/// Returns the body of the farewell of a start.
pub fn farewell_body(born_ms: u64) -> String {
    format!(r#"{{"born":{born_ms}}}"#)
}

/// Returns the path to which a backend server posts its farewell.
pub fn farewell_path(instance: &str) -> String {
    format!("/instances/{instance}/deregister")
}
