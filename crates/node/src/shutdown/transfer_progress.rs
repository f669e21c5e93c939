//! Progress of a transfer through a stopping node.

use std::time::Duration;

/// Progress of a transfer whose end a stopping node may not see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferProgress {
    /// Bytes that have arrived.
    pub received_bytes: u64,
    /// Time in which they arrived.
    pub elapsed: Duration,
    /// Bytes that are known to be missing; 0 if the length isn't known.
    pub missing_bytes: u64,
}

impl TransferProgress {
    /// Returns whether the missing bytes arrive within `remaining` at the rate so far.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::shutdown::TransferProgress;
    ///
    /// let progress = TransferProgress {
    ///     received_bytes: 1_000_000,
    ///     elapsed: Duration::from_secs(2),
    ///     missing_bytes: 1_500_000,
    /// };
    /// assert!(progress.ends_within(Duration::from_secs(3)));
    /// assert!(!progress.ends_within(Duration::from_millis(2_900)));
    /// ```
    pub fn ends_within(self, remaining: Duration) -> bool {
        self.missing_bytes as f64 * self.elapsed.as_secs_f64()
            <= self.received_bytes as f64 * remaining.as_secs_f64()
    }
}
