//! Paces the starts of requests by a rate.

use std::time::Duration;

use super::RequestRate;

/// Largest number of requests that may start at once after a pause, beyond the first.
const BURST_REQUESTS: u32 = 4;
/// Longest pause that is made up for by a burst.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Longest time between starts, whatever the rate. A backend server that gets no request can't
/// say that it takes more again.
const INTERVAL_MAX: Duration = Duration::from_secs(2);

/// Paces the starts of requests by a rate: the generic cell rate algorithm.
///
/// Starts are due one interval after another. One that comes late, as when no request was there,
/// may be made up for, up to a small burst. In any time `t`, at most `rate * t + 5` requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimiter {
    interval: Duration,
    /// Time at which the next start is due.
    due_at: Duration,
}

impl RateLimiter {
    /// Creates a limiter that allows its first start one interval from `now`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::rate_limit::{RateLimiter, RequestRate};
    ///
    /// let now = Duration::from_secs(10);
    /// let mut limiter = RateLimiter::new(now, RequestRate::from_millis(20_000));
    /// assert_eq!(limiter.wait(now, 0), Duration::from_millis(50));
    /// let later = now + Duration::from_millis(50);
    /// limiter.record_start(later);
    /// assert_eq!(limiter.wait(later, 1), Duration::from_millis(100));
    /// ```
    pub fn new(now: Duration, rate: RequestRate) -> Self {
        let interval = interval_of(rate);
        Self {
            interval,
            due_at: now + interval + burst_time(interval),
        }
    }

    /// Changes the rate. What was used in excess of the old rate counts for the new one as well.
    pub fn set_rate(&mut self, now: Duration, rate: RequestRate) {
        let ahead = self.due_at.saturating_sub(now);
        let starts_ahead = ahead.as_secs_f64() / self.interval.as_secs_f64();
        self.interval = interval_of(rate);
        self.due_at = now + self.interval.mul_f64(starts_ahead);
    }

    /// Returns the time between two starts.
    pub const fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns how long a request has to wait that starts after `ahead` others.
    pub fn wait(&self, now: Duration, ahead: u32) -> Duration {
        let due_at = self.due_at.max(now) + self.interval * ahead;
        due_at.saturating_sub(now + burst_time(self.interval))
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Duration) {
        self.due_at = self.due_at.max(now) + self.interval;
    }
}

/// Returns the time by which starts may be ahead of their due times.
fn burst_time(interval: Duration) -> Duration {
    (interval * BURST_REQUESTS).min(BURST_TIME)
}

fn interval_of(rate: RequestRate) -> Duration {
    /// Nanoseconds between the starts of a thousandth of a request per second.
    const NANOS_PER_MILLI_RATE: u64 = 1_000_000_000_000;
    let nanos = NANOS_PER_MILLI_RATE.checked_div(rate.millis());
    let interval = nanos.map_or(INTERVAL_MAX, Duration::from_nanos);
    interval.clamp(Duration::from_nanos(1), INTERVAL_MAX)
}
