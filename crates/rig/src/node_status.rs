//! What a node's admin port says of it.

use std::{net::SocketAddr, time::Duration};

use serde::Deserialize;
use serde_json::Value;

/// A node on loopback answers within a millisecond; a stopped one never does.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The part of `GET /status` that the rig needs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// Name of the instance.
    pub instance: String,
    /// State in the life cycle.
    pub state: String,
    /// Service of the backend server, once it announced itself.
    pub service: Option<String>,
    /// Version of the preset in force at the node; 0 before the first.
    pub version: u64,
    /// Name of that preset.
    pub preset: Option<String>,
    /// Members that the node knows: a number, or a list of them.
    pub members: Value,
    /// Wall clock at which that version came into force there, in
    /// milliseconds since the Unix epoch.
    #[serde(default)]
    pub in_force_since_ms: u64,
    /// Whether it reads the platform for its data centre.
    #[serde(default)]
    pub is_watcher: bool,
}

impl NodeStatus {
    /// Reads a node's status, or returns `None` if it doesn't answer.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::NodeStatus;
    ///
    /// assert_eq!(NodeStatus::read(([127, 0, 0, 1], 1).into()), None);
    /// ```
    pub fn read(admin: SocketAddr) -> Option<Self> {
        let request = attohttpc::get(format!("http://{admin}/status")).timeout(STATUS_TIMEOUT);
        request.send().ok()?.json().ok()
    }

    /// Returns the number of members that the node knows.
    pub fn member_count(&self) -> usize {
        match &self.members {
            Value::Array(members) => members.len(),
            Value::Object(members) => members.len(),
            other => other.as_u64().unwrap_or_default() as usize,
        }
    }
}
