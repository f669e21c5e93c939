//! Limits of the poison registry.

use std::time::Duration;

/// When, and for how long, requests that crash backend servers are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonLimits {
    /// Number of crashes of backend servers after which a request is refused.
    pub crashes: u32,
    /// Time for which a request stays refused after its latest crash.
    pub refusal_time: Duration,
}
