//! The node's monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Monotonic clock that counts from the node's start.
///
/// Decisions take their time from it, as the wall clock may jump by seconds. The wall
/// clock ([`NodeClock::unix_ms`]) decides only one thing: which starts of a backend server
/// a deregistration ends when it doesn't give the start's time.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time from the clock's start to `instant`, or zero if it was earlier.
    pub fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Returns the instant that is `time` after the clock's start.
    pub fn instant_of(&self, time: Duration) -> Instant {
        self.start + time
    }

    /// Returns the wall-clock time in Unix milliseconds.
    ///
    /// The wall clock may jump, so durations are taken from the monotonic clock.
    pub fn unix_ms() -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.map_or(0, |now| now.as_millis() as u64)
    }
}
