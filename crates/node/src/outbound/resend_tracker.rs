//! When callers that come again first asked.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Refused requests that are remembered: three seconds' worth of a node that refuses
/// everything that its machine's callers ask for at ten times today's rate.
const KEPT: usize = 1_024;
/// Difference of two attempts' ends that may be one caller's: the way to the node
/// takes up to ten milliseconds, a caller on a busy machine some more.
const SAME_END: Duration = Duration::from_millis(25);

/// A request that was refused, and may come again.
#[derive(Debug, Clone, Copy)]
struct RefusedRequest {
    first_attempt_at: Duration,
    /// When its caller stops waiting.
    caller_end: Duration,
}

/// When callers that come again first asked, by what they were refused here.
///
/// Callers that were refused come again with what is left of their time, after pauses
/// that differ from one to the next. If they are taken for new, files on full links go to
/// callers who asked long before, who get them late, in the place of others that could
/// have been in time. The same request whose caller stops waiting at the same moment is
/// the same caller's; it is remembered until then.
#[derive(Debug, Default)]
pub struct ResendTracker {
    refused: HashMap<u64, RefusedRequest>,
    /// The same in the order in which they were refused.
    order: VecDeque<(u64, Duration)>,
}

impl ResendTracker {
    /// Notes that the request with this hash got no answer.
    pub fn refused(&mut self, fingerprint: u64, first_attempt_at: Duration, caller_end: Duration) {
        while self.order.len() >= KEPT {
            self.forget_oldest();
        }
        let request = RefusedRequest {
            first_attempt_at,
            caller_end,
        };
        self.refused.insert(fingerprint, request);
        self.order.push_back((fingerprint, caller_end));
    }

    /// Returns when the caller of the request with this hash first asked, if it was
    /// refused here before.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::outbound::ResendTracker;
    ///
    /// let mut book = ResendTracker::default();
    /// let (asked, end) = (Duration::from_millis(100), Duration::from_millis(1_100));
    /// book.refused(7, asked, end);
    /// assert_eq!(book.first_attempt_at(7, end + Duration::from_millis(3)), Some(asked));
    /// // Another caller asks for the same.
    /// assert_eq!(book.first_attempt_at(7, end + Duration::from_millis(400)), None);
    /// ```
    pub fn first_attempt_at(&self, fingerprint: u64, caller_end: Duration) -> Option<Duration> {
        let request = self.refused.get(&fingerprint)?;
        let same = request.caller_end.abs_diff(caller_end) <= SAME_END;
        same.then_some(request.first_attempt_at)
    }

    /// Forgets callers that have stopped waiting.
    pub fn sweep(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(_, end)| *end < now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((fingerprint, end)) = self.order.pop_front() else {
            return;
        };
        let is_latest = |request: &RefusedRequest| request.caller_end == end;
        if self.refused.get(&fingerprint).is_some_and(is_latest) {
            self.refused.remove(&fingerprint);
        }
    }
}
