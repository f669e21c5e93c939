//! Limits on the connections of a listener.

use std::time::Duration;

/// Smallest read buffer in bytes that hyper accepts.
pub(crate) const BUFFER_MIN_BYTES: usize = 8_192;
/// Longest wait for a new connection's first request while the node closes: two round
/// trips to distant callers, and as much again for a busy machine.
pub(crate) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits on the connections of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest time that a connection may stay idle or a head may take to arrive.
    pub idle_timeout: Duration,
    /// Largest size of a request's head in bytes.
    pub max_head_bytes: usize,
}
