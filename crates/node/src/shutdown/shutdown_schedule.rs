//! Times of a node's shutdown.

use std::time::Duration;

/// Time after the stop signal in which callers are still served.
///
/// Readiness is checked every second, and two failed checks in a row take a node out of service.
pub const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Part of the shutdown timeout that is left when the node closes its connections, before the
/// process is killed.
const CLOSE_FRACTION: f64 = 0.1;
/// Longest time that is left for closing connections.
const CLOSE_MARGIN_MAX: Duration = Duration::from_millis(600);
/// Part of the time for closing in which the last log lines are written.
const LOG_FRACTION: f64 = 2.0 / 3.0;
/// Time before the connections close at which callers get their final responses. A response takes
/// a millisecond to reach its caller, and a few more on a busy machine.
const FINAL_RESPONSE_MARGIN: Duration = Duration::from_millis(8);
/// Time before the final responses at which other nodes are to have sent theirs. It covers the way
/// here on full links, and the pauses of a busy processor.
const PEER_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Times of a node's shutdown, on the node's clock.
///
/// Whatever the deadline of a caller, it gets its final response by
/// [`ShutdownSchedule::final_responses_at`], and other nodes plan with
/// [`ShutdownSchedule::peer_responses_at`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_field_names,
    reason = "each field is a time and is named like one"
)]
pub struct ShutdownSchedule {
    begun_at: Duration,
    closes_at: Duration,
    ends_at: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule of a shutdown that begins at `now`.
    ///
    /// `shutdown_timeout` is the time from the stop signal to the kill of the process.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::shutdown::ShutdownSchedule;
    ///
    /// let now = Duration::from_secs(100);
    /// let schedule = ShutdownSchedule::new(now, Duration::from_secs(6));
    /// assert_eq!(schedule.closes_at(), Duration::from_millis(105_400));
    /// assert!(!schedule.rejects_callers(now));
    /// assert!(schedule.rejects_callers(Duration::from_secs(103)));
    /// ```
    pub fn new(now: Duration, shutdown_timeout: Duration) -> Self {
        let close_margin = shutdown_timeout
            .mul_f64(CLOSE_FRACTION)
            .min(CLOSE_MARGIN_MAX);
        Self {
            begun_at: now,
            closes_at: now + shutdown_timeout.saturating_sub(close_margin),
            ends_at: now + shutdown_timeout.saturating_sub(close_margin.mul_f64(LOG_FRACTION)),
        }
    }

    /// Returns whether new requests of callers are rejected.
    ///
    /// By [`CALLER_DRAIN_TIME`] after the stop signal, callers that can use another node have left.
    /// Callers keep using a node that isn't ready while most nodes of their data centre aren't
    /// ready. These are told at once to retry later, so that open requests can finish. So are callers
    /// that come when the final responses are due, where the shutdown timeout is short.
    pub fn rejects_callers(&self, now: Duration) -> bool {
        now >= self
            .final_responses_at()
            .min(self.begun_at + CALLER_DRAIN_TIME)
    }

    /// Returns whether nested calls of runs that have begun are rejected.
    ///
    /// A run whose nested call is rejected fails, although it was accepted. It is served until other
    /// nodes have no time left to respond.
    pub fn rejects_nested_calls(&self, now: Duration) -> bool {
        now >= self.peer_responses_at()
    }

    /// Returns when the node closes its connections, even with requests open.
    pub const fn closes_at(&self) -> Duration {
        self.closes_at
    }

    /// Returns when the node stops waiting for its connections to end.
    pub const fn ends_at(&self) -> Duration {
        self.ends_at
    }

    /// Returns when callers without a response get a final one.
    pub const fn final_responses_at(&self) -> Duration {
        self.closes_at.saturating_sub(FINAL_RESPONSE_MARGIN)
    }

    /// Returns when long responses to or from other nodes have to be sent.
    pub const fn peer_responses_at(&self) -> Duration {
        self.final_responses_at()
            .saturating_sub(PEER_RESPONSE_MARGIN)
    }
}
