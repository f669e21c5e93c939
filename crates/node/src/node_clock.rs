//! The node's monotonic clock.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic time since the node's start, as decisions take it.
///
/// The time of day plays no part in any decision: it may jump by seconds.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time from the start to `instant`.
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Returns the moment `time` after the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time
    }
}
