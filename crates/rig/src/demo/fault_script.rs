//! What is killed, and when things happen.

use std::time::Duration;

/// Processes that the demo kills and brings back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultScript {
    /// Instances whose node is killed.
    pub nodes: Vec<String>,
    /// Instances whose backend server is killed.
    pub backends: Vec<String>,
    /// Length of the load, which the moments below are shares of.
    pub load: Duration,
}

impl FaultScript {
    /// The peak preset is put in force.
    pub fn peak_at(&self) -> Duration {
        self.load / 4
    }

    /// The processes are killed.
    pub fn kill_at(&self) -> Duration {
        self.load / 2
    }

    /// The ordinary preset is put in force again while they are away: a node
    /// that comes back must not follow the version it had.
    pub fn ordinary_at(&self) -> Duration {
        self.load * 5 / 8
    }

    /// The processes come back.
    pub fn return_at(&self) -> Duration {
        self.load * 3 / 4
    }
}
