//! Circuit breaker in front of a backend server that breaks every run.

use std::time::Duration;

/// Number of consecutive broken runs that opens the breaker. The number is high enough that a
/// backend server which breaks every second run rarely opens it.
const BREAKS_MAX: u32 = 8;
/// First time for which the breaker is open. A process restarts within about a second.
const OPEN_TIME_FIRST: Duration = Duration::from_millis(250);
/// Longest time for which the breaker is open. One trial in it costs hardly anything.
const OPEN_TIME_MAX: Duration = Duration::from_secs(2);

/// Circuit breaker in front of a backend server that breaks every run.
///
/// A backend server that resets or corrupts each run at once occupies no slots and no link. It
/// looks like the member with the most free capacity and attracts all requests that others refuse,
/// and each caller learns only that its request may have run. After several consecutive broken
/// runs the breaker opens: callers learn that their requests have not run, and outbound proxies
/// pick other members. At the end of each open time, which doubles, one trial checks whether the
/// backend server has recovered. Any response closes the breaker.
#[derive(Debug, Default)]
pub struct EndpointBreaker {
    consecutive_breaks: u32,
    open_until: Duration,
    open_time: Duration,
    /// Whether a trial is in progress.
    trial_in_progress: bool,
}

impl EndpointBreaker {
    /// Admits a run while the breaker is closed.
    ///
    /// While the breaker is open, one run is admitted as a trial at the end of each open time.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::EndpointBreaker;
    ///
    /// let mut breaker = EndpointBreaker::default();
    /// let now = Duration::from_secs(1);
    /// for _ in 0..8 {
    ///     assert_eq!(breaker.admit(now), Ok(()));
    ///     breaker.record_break(now);
    /// }
    /// let wait = breaker.admit(now).unwrap_err();
    /// assert_eq!(breaker.admit(now + wait), Ok(()));
    /// assert!(breaker.admit(now + wait).is_err(), "one trial at a time");
    /// breaker.record_response();
    /// assert_eq!(breaker.admit(now + wait), Ok(()));
    /// ```
    pub fn admit(&mut self, now: Duration) -> Result<(), Duration> {
        if !self.is_open() {
            return Ok(());
        }
        if now < self.open_until {
            return Err(self.open_until.saturating_sub(now));
        }
        // A trial that ends without a result, for example because its caller leaves, is followed
        // by another after the same open time.
        self.trial_in_progress = true;
        self.open_until = now + self.open_time;
        Ok(())
    }

    /// Whether the breaker is open and admits only trials.
    pub const fn is_open(&self) -> bool {
        self.consecutive_breaks >= BREAKS_MAX
    }

    /// Records a run that ended with a response, and closes the breaker.
    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Records a broken run, which may open the breaker or extend its open time.
    pub fn record_break(&mut self, now: Duration) {
        self.consecutive_breaks = self.consecutive_breaks.saturating_add(1);
        if self.consecutive_breaks == BREAKS_MAX {
            self.open_time = OPEN_TIME_FIRST;
            self.open_until = now + self.open_time;
        } else if std::mem::take(&mut self.trial_in_progress) {
            self.open_time = (self.open_time * 2).min(OPEN_TIME_MAX);
            self.open_until = now + self.open_time;
        }
    }
}
