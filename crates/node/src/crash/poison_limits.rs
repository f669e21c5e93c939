//! Limits on requests that crash backend servers.

use std::time::Duration;

/// Limits on requests that crash backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonLimits {
    /// Crashes of backend servers after which a request is refused.
    pub crashes: u32,
    /// Time for which it stays refused after the last of them.
    pub hold: Duration,
}
