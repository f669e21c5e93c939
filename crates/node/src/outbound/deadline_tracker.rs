//! Recognises, by their remaining time, requests that callers send again.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

/// Largest number of deadlines that are counted for each route. With this number, a deadline that
/// one in five of a route's requests has is certain to be found.
const DEADLINES_MAX: usize = 5;
/// Smallest share of a route's requests that a deadline of first attempts has.
const FIRST_ATTEMPT_SHARE_MIN: f64 = 0.1;
/// Largest difference between deadlines that count as the same. A request takes a
/// millisecond to reach the node, and a few more on a busy machine.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(5);
/// Number of a route's requests after which all counts are halved. It is reached within a
/// few seconds at the users' request rates.
const HALVE_AFTER_REQUESTS: f64 = 256.0;

/// A deadline, as a caller's waiting time, and the decaying count of its requests.
#[derive(Debug, Clone, Copy)]
struct SeenDeadline {
    deadline: Duration,
    count: f64,
}

/// The most frequent deadlines of a route.
#[derive(Debug, Clone, Default)]
struct RouteDeadlines {
    seen: SmallVec<[SeenDeadline; DEADLINES_MAX]>,
    total: f64,
}

/// Estimates from the deadlines in requests how long ago callers made their first attempt.
///
/// A caller that was refused sends its request again with its remaining time as the
/// deadline, and nothing else distinguishes it from a new one. If it got the full target
/// time again, it would be served late in place of others that could have been in time.
/// First attempts on a route have the same few deadlines. Any other deadline is taken for
/// the remaining time of the next greater one.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    routes: HashMap<u64, RouteDeadlines>,
}

impl DeadlineTracker {
    /// Records the time left for a request, and returns the time since its first attempt.
    ///
    /// `deadline` is the time for which the caller still waits. The request is one of the route
    /// with `route_hash`. The result is zero if the request looks like a first attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::outbound::DeadlineTracker;
    ///
    /// let mut tracker = DeadlineTracker::default();
    /// for _ in 0..20 {
    ///     assert_eq!(tracker.time_since_first_attempt(7, Duration::from_secs(1)), Duration::ZERO);
    /// }
    /// let left = Duration::from_millis(700);
    /// assert_eq!(tracker.time_since_first_attempt(7, left), Duration::from_millis(300));
    /// ```
    pub fn time_since_first_attempt(&mut self, route_hash: u64, deadline: Duration) -> Duration {
        let route = self.routes.entry(route_hash).or_default();
        route.observe(deadline);
        route.time_since_first_attempt(deadline)
    }
}

impl RouteDeadlines {
    fn observe(&mut self, deadline: Duration) {
        self.total += 1.0;
        if self.total > HALVE_AFTER_REQUESTS {
            self.total /= 2.0;
            self.seen.iter_mut().for_each(|seen| seen.count /= 2.0);
        }
        let same =
            |seen: &&mut SeenDeadline| seen.deadline.abs_diff(deadline) <= DEADLINE_TOLERANCE;
        if let Some(seen) = self.seen.iter_mut().find(same) {
            seen.count += 1.0;
            seen.deadline = seen.deadline.max(deadline);
            return;
        }
        if self.seen.len() == DEADLINES_MAX {
            self.seen.iter_mut().for_each(|seen| seen.count -= 1.0);
            self.seen.retain(|seen| seen.count > 0.0);
            return;
        }
        self.seen.push(SeenDeadline {
            deadline,
            count: 1.0,
        });
    }

    fn time_since_first_attempt(&self, deadline: Duration) -> Duration {
        let min_count = self.total * FIRST_ATTEMPT_SHARE_MIN;
        let usual = self.seen.iter().filter(|seen| seen.count >= min_count);
        let first_deadline = usual.map(|seen| seen.deadline);
        let first_deadline = first_deadline
            .filter(|usual| *usual + DEADLINE_TOLERANCE >= deadline)
            .min();
        first_deadline.map_or(Duration::ZERO, |usual| {
            let time_since_first_attempt = usual.saturating_sub(deadline);
            if time_since_first_attempt > DEADLINE_TOLERANCE {
                time_since_first_attempt
            } else {
                Duration::ZERO
            }
        })
    }
}
