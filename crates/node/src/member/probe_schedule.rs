//! Times at which a refusal by an estimate is tried again.

use std::time::Duration;

/// Time without a sample after which the first probe is due, and the shortest time between two.
const PROBE_WAIT_MIN: Duration = Duration::from_secs(2);
/// Longest time between two probes.
const PROBE_WAIT_MAX: Duration = Duration::from_secs(30);

/// Times at which a request runs although an estimate speaks against it.
///
/// An estimate that refuses every request gets no further samples, and would stand for good. The
/// wait doubles with each probe until a sample arrives that no probe brought.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProbeSchedule {
    next_at: Duration,
    wait: Duration,
}

impl ProbeSchedule {
    /// Creates the schedule of an estimate with a sample at `now`.
    pub(super) fn new(now: Duration) -> Self {
        Self {
            next_at: now + PROBE_WAIT_MIN,
            wait: PROBE_WAIT_MIN,
        }
    }

    /// Begins a probe at `now`.
    ///
    /// # Errors
    ///
    /// Returns the time until the next probe if it isn't due yet.
    pub(super) fn begin(&mut self, now: Duration) -> Result<(), Duration> {
        if now < self.next_at {
            return Err(self.next_at.saturating_sub(now));
        }
        self.next_at = now + self.wait;
        self.wait = (self.wait * 2).min(PROBE_WAIT_MAX);
        Ok(())
    }
}
