//! How long ago a caller first asked.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

/// Deadlines that are kept for each route. One value in five of a route's
/// requests is found for certain among so many.
const KEPT: usize = 5;
/// Share of a route's requests from which on a deadline is a usual one.
const USUAL_SHARE: f64 = 0.1;
/// Deadlines that count as the same: the way to the node takes a millisecond,
/// a caller on a busy machine some more.
const SAME: Duration = Duration::from_millis(5);
/// Requests of a route after which older ones count half: some seconds at the
/// users' rates.
const HALF_LIFE: f64 = 256.0;

#[derive(Debug, Clone, Copy)]
struct SeenDeadline {
    deadline: Duration,
    count: f64,
}

#[derive(Debug, Clone, Default)]
struct RouteDeadlines {
    seen: SmallVec<[SeenDeadline; KEPT]>,
    total: f64,
}

/// How long ago callers first asked, by the deadlines that they name.
///
/// Callers that were refused come again with what is left of their time, and nothing else
/// tells them from new ones. Given the whole of the target time anew, they would be
/// served late in the place of others that could have been in time. First attempts on a
/// route name the same few deadlines; one that is none of these is what is left of the
/// next greater one.
#[derive(Debug, Default)]
pub struct DeadlineTracker {
    routes: HashMap<u64, RouteDeadlines>,
}

impl DeadlineTracker {
    /// Takes in the deadline of a request on the route with this hash, and
    /// returns how long ago its caller first asked, as far as can be told.
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
        if self.total > HALF_LIFE {
            self.total /= 2.0;
            self.seen.iter_mut().for_each(|seen| seen.count /= 2.0);
        }
        let same = |seen: &&mut SeenDeadline| seen.deadline.abs_diff(deadline) <= SAME;
        if let Some(seen) = self.seen.iter_mut().find(same) {
            seen.count += 1.0;
            seen.deadline = seen.deadline.max(deadline);
            return;
        }
        if self.seen.len() == KEPT {
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
        let least = self.total * USUAL_SHARE;
        let usual = self.seen.iter().filter(|seen| seen.count >= least);
        let from = usual.map(|seen| seen.deadline);
        let from = from.filter(|usual| *usual + SAME >= deadline).min();
        from.map_or(Duration::ZERO, |usual| {
            let time_since_first_attempt = usual.saturating_sub(deadline);
            if time_since_first_attempt > SAME {
                time_since_first_attempt
            } else {
                Duration::ZERO
            }
        })
    }
}
