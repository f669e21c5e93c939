//! A circuit breaker in front of a backend server that breaks every run.

use std::time::Duration;

/// Runs in a row that break before the breaker opens; high enough that a backend server
/// which breaks every second run rarely opens it.
const BREAKS_MAX: u32 = 8;
/// First time for which it is open: a process is restarted within about a second.
const OPEN_TIME_FIRST: Duration = Duration::from_millis(250);
/// Longest time for which it is open; one trial in it costs hardly anything.
const OPEN_TIME_MAX: Duration = Duration::from_secs(2);

/// A circuit breaker in front of a backend server that breaks every run.
///
/// A backend server that resets or spoils each run at once holds nothing and fills no
/// link. It looks like the member with the most room and draws what all others refuse,
/// and each caller hears only that its request may have run. After some breaks in a row
/// nothing is sent to it, so that callers hear that their request has not run, and outbound proxies
/// go elsewhere. One trial each pause, which doubles, finds out whether it has recovered;
/// any answer closes the breaker.
#[derive(Debug, Default)]
pub struct EndpointBreaker {
    consecutive_breaks: u32,
    open_until: Duration,
    open_time: Duration,
    /// Whether a trial is under way.
    trial: bool,
}

impl EndpointBreaker {
    /// Lets a run pass, as a trial when the pause of an open breaker has ended.
    ///
    /// # Errors
    ///
    /// The time until the next trial.
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
        // A trial that ends without a result, as when its caller leaves, is followed by
        // another after the same pause.
        self.trial = true;
        self.open_until = now + self.open_time;
        Ok(())
    }

    /// Whether nothing but trials passes.
    pub const fn is_open(&self) -> bool {
        self.consecutive_breaks >= BREAKS_MAX
    }

    /// Takes in that a run ended with an answer.
    pub fn record_response(&mut self) {
        *self = Self::default();
    }

    /// Takes in that a run broke.
    pub fn record_break(&mut self, now: Duration) {
        self.consecutive_breaks = self.consecutive_breaks.saturating_add(1);
        if self.consecutive_breaks == BREAKS_MAX {
            self.open_time = OPEN_TIME_FIRST;
            self.open_until = now + self.open_time;
        } else if std::mem::take(&mut self.trial) {
            self.open_time = (self.open_time * 2).min(OPEN_TIME_MAX);
            self.open_until = now + self.open_time;
        }
    }
}
