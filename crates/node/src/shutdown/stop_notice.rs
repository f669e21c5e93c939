//! Message of a stopping node to the nodes that run its requests.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// Tells a node until when a stopping one can pass on responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopNotice {
    /// Address at which the stopping node accepts requests of other nodes.
    pub from: SocketAddr,
    /// Milliseconds until the stopping node gives its callers their final responses.
    pub remaining_ms: u64,
}

impl StopNotice {
    /// Returns the time until the stopping node gives its callers their final responses.
    pub const fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms)
    }
}
