//! Room that a limit leaves, as the node beside the backend server reports it.

use std::time::Duration;

use super::RequestRate;

/// Room that the limit of a backend server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitLoad {
    /// Rate that the backend server takes from all nodes together.
    pub rate: RequestRate,
    /// Time that a request has to wait by the limit if it arrives now, behind those that wait.
    pub wait: Duration,
}
