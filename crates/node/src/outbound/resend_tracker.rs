//! Recognises requests that got no response of a backend server and are sent again.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Largest number of requests that are remembered. It covers three seconds of a node that refuses
/// all requests of its callers at 340 requests a second, ten times the usual rate.
const FAILED_ATTEMPTS_MAX: usize = 1_024;
/// Largest difference between the deadlines of two attempts of one caller. A request takes up
/// to ten milliseconds to reach the node, and some more on a busy machine.
const CALLER_DEADLINE_TOLERANCE: Duration = Duration::from_millis(25);

/// A request that got no response of a backend server and may be sent again.
#[derive(Debug, Clone, Copy)]
struct FailedAttempt {
    first_attempt_at: Duration,
    /// When the caller stops waiting.
    caller_deadline: Duration,
}

/// Remembers requests without a response of a backend server, to recognise later attempts.
///
/// Such requests were refused, timed out or lost their response. Their callers send them again with
/// their remaining time, after pauses of different lengths. If such a request counted as new, long
/// responses on full links would go to callers that have waited long and get them late, in place of
/// others that could have been in time. A request with the same fingerprint and the same caller
/// deadline is taken for one of the same caller. It is remembered until that deadline.
#[derive(Debug, Default)]
pub struct ResendTracker {
    failed_attempts: HashMap<u64, FailedAttempt>,
    /// Fingerprints and caller deadlines in the order in which they were recorded.
    order: VecDeque<(u64, Duration)>,
}

impl ResendTracker {
    /// Records that the request with `fingerprint` got no response of a backend server.
    ///
    /// The oldest request is forgotten if too many are remembered.
    pub fn record_failed_attempt(
        &mut self,
        fingerprint: u64,
        first_attempt_at: Duration,
        caller_deadline: Duration,
    ) {
        while self.order.len() >= FAILED_ATTEMPTS_MAX {
            self.forget_oldest();
        }
        let request = FailedAttempt {
            first_attempt_at,
            caller_deadline,
        };
        self.failed_attempts.insert(fingerprint, request);
        self.order.push_back((fingerprint, caller_deadline));
    }

    /// Returns the time of the first attempt of a request that is remembered here.
    ///
    /// The result is none if no remembered request has this fingerprint and about the same caller
    /// deadline.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::outbound::ResendTracker;
    ///
    /// let mut tracker = ResendTracker::default();
    /// let (first, end) = (Duration::from_millis(100), Duration::from_millis(1_100));
    /// tracker.record_failed_attempt(7, first, end);
    /// assert_eq!(tracker.first_attempt_at(7, end + Duration::from_millis(3)), Some(first));
    /// // Another caller sends the same request.
    /// assert_eq!(tracker.first_attempt_at(7, end + Duration::from_millis(400)), None);
    /// ```
    pub fn first_attempt_at(
        &self,
        fingerprint: u64,
        caller_deadline: Duration,
    ) -> Option<Duration> {
        let request = self.failed_attempts.get(&fingerprint)?;
        let is_same_caller =
            request.caller_deadline.abs_diff(caller_deadline) <= CALLER_DEADLINE_TOLERANCE;
        is_same_caller.then_some(request.first_attempt_at)
    }

    /// Forgets requests whose callers have stopped waiting.
    pub fn sweep(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(_, end)| *end < now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((fingerprint, end)) = self.order.pop_front() else {
            return;
        };
        let is_latest = |request: &FailedAttempt| request.caller_deadline == end;
        if self
            .failed_attempts
            .get(&fingerprint)
            .is_some_and(is_latest)
        {
            self.failed_attempts.remove(&fingerprint);
        }
    }
}
