//! Outcome of a retry rule.

use std::time::Duration;

/// What to do about a try that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again elsewhere.
    Retry {
        /// Time to wait first.
        after: Duration,
    },
    /// Tell the caller.
    Final,
}
