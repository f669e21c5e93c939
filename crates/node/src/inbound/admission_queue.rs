//! Who runs, who waits and who is refused.

use std::{collections::BTreeMap, time::Duration};

use super::route_statistics::{RankedRoute, RouteStatistics};

/// Service time reserved when a job is admitted, as a multiple of the class mean. Covers
/// all but the slowest few runs.
const RUN_MARGIN: f64 = 1.6;
/// Longest wait, in mean runs, of what hasn't begun. In a shortage the queue is always as
/// long as it may be; it need only keep every slot busy, and more makes answers late.
const NEW_REQUEST_WAIT: f64 = 0.5;
/// Jobs that may wait in any case: of fewer none is left when some come later than
/// usual, and a slot stands idle.
const WAITING_MIN: f64 = 4.0;
/// Wait of a job that was given up, in the time for which it did wait: how much
/// longer it would have been isn't known, only that it would.
const EXPIRED_WAIT_FACTOR: f64 = 1.5;
/// Least advice on when to come back: below it a caller only meets the same
/// queue again.
const RETRY_MIN: Duration = Duration::from_millis(20);
/// Longest advice: a queue that is refusing turns over in a few runs, and a
/// caller that stays away longer misses its own target.
const RETRY_MAX: Duration = Duration::from_millis(300);

/// A waiting job; the least runs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Whether it has yet to begin; a call belongs to a run that has.
    fresh: bool,
    rank: u8,
    /// Whether it can't be answered in time any more.
    late: bool,
    useful_until: Duration,
    order: u64,
}

/// A request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of its route, by which service times are kept.
    pub route_hash: u64,
    /// Whether it belongs to a run that has begun.
    pub nested: bool,
    /// Whether it may wait; it probes for a free slot otherwise.
    pub may_wait: bool,
    /// Time by which its answer is of full use.
    pub useful_until: Duration,
    /// Time at which its caller gets a final answer.
    pub ends_at: Duration,
}

/// What becomes of an request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// Every slot is taken, and it may not wait.
    Busy,
    /// It waits; refuse it when it still does at `latest`.
    Wait {
        /// Key by which it is granted or withdrawn.
        key: QueueKey,
        /// Last moment at which starting it is of use.
        latest: Duration,
    },
    /// It can't be of use any more; it hasn't run.
    Refuse {
        /// Time after which room is expected.
        retry_after: Duration,
    },
}

/// Queue in front of one backend server.
///
/// A queue in order of arrival without a bound serves everyone late once more is asked
/// for than the slots carry, and a bound by number alone is too long for a slow backend
/// server and too short for a fast one. So a job that can't be answered in time at the
/// current pace is refused on arrival, with the time in which the excess drains.
///
/// Calls of runs that have begun go first and wait as long as those do, as each that is
/// turned away wastes the run that made it. The rest waits for a short time at most, by
/// rank, then by the time until which its answer is of use. A job that is late already
/// goes behind its rank. A class that is served clearly more often than one of its rank
/// or above is refused until that has caught up (`RouteStatistics`). The pace is taken from
/// how long places in the queue really took, as jobs are overtaken. A job that waits is
/// refused as soon as starting it is of no use.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    running: u32,
    order: u64,
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    statistics: RouteStatistics,
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    route: RankedRoute,
    late: bool,
    latest: Duration,
    requested_at: Duration,
    /// Wait as it would be if nothing overtook it.
    planned: Duration,
}

impl AdmissionQueue {
    /// Makes an empty queue in front of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            order: 0,
            waiting: BTreeMap::new(),
            statistics: RouteStatistics::default(),
        }
    }

    /// Changes the number of slots and returns the jobs that run now.
    pub fn set_slots(&mut self, now: Duration, slots: u32) -> Vec<QueueKey> {
        self.slots = slots.max(1);
        self.grant(now)
    }

    /// Returns how many jobs run.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the mean time of a run; zero while unknown.
    pub fn mean_run_time(&self) -> Duration {
        self.statistics.mean_run_time()
    }

    /// Returns the mean time of a run of one class.
    pub fn mean_run_time_of(&self, route_hash: u64) -> Duration {
        self.statistics.mean_run_time_of(RankedRoute {
            rank: 0,
            route_hash,
        })
    }

    /// Offers a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::{AdmissionQueue, AdmissionRequest, AdmissionDecision};
    ///
    /// let mut queue = AdmissionQueue::new(1);
    /// let useful_until = Duration::from_millis(400);
    /// let ends_at = Duration::from_millis(1_000);
    /// let request =
    ///     AdmissionRequest { rank: 1, route_hash: 7, nested: false, may_wait: true, useful_until, ends_at };
    /// assert_eq!(queue.admit(Duration::ZERO, request), AdmissionDecision::Run);
    /// assert!(matches!(queue.admit(Duration::ZERO, request), AdmissionDecision::Wait { .. }));
    /// let freed = queue.finish(Duration::from_millis(100), 7, Some(Duration::from_millis(100)));
    /// assert_eq!(freed.len(), 1);
    /// ```
    pub fn admit(&mut self, now: Duration, request: AdmissionRequest) -> AdmissionDecision {
        let route = RankedRoute {
            rank: request.rank,
            route_hash: request.route_hash,
        };
        if self.running >= self.slots && !request.may_wait {
            return AdmissionDecision::Busy;
        }
        self.statistics.record_request(now, route);
        let run_time = self.statistics.mean_run_time_of(route);
        let late = !request.nested && now + run_time > request.useful_until;
        if self.running < self.slots {
            self.running += 1;
            self.record_decision(route, late, true);
            return AdmissionDecision::Run;
        }
        if !request.nested && self.statistics.is_ahead(now, route) {
            return self.refuse(route, late, self.wait());
        }
        self.order += 1;
        let key = QueueKey {
            fresh: !request.nested,
            rank: request.rank,
            late,
            useful_until: request.useful_until,
            order: self.order,
        };
        let end = if request.nested || late {
            request.ends_at
        } else {
            request.useful_until
        };
        let mut latest = end.saturating_sub(run_time.mul_f64(RUN_MARGIN));
        if let Some(longest) = self.longest_wait(run_time).filter(|_| !request.nested) {
            latest = latest.min(now + longest);
        }
        let planned = self.wait_before(key);
        let start = now + self.statistics.expected_wait(route, late, planned);
        if start > latest {
            return self.refuse(route, late, start.saturating_sub(latest));
        }
        let queued = QueuedRequest {
            route,
            late,
            latest,
            requested_at: now,
            planned,
        };
        self.waiting.insert(key, queued);
        AdmissionDecision::Wait { key, latest }
    }

    /// Returns how long a job of this mean run may wait that hasn't begun. After a
    /// start no run has ended yet, and nothing but its target bounds it.
    fn longest_wait(&self, run_time: Duration) -> Option<Duration> {
        let wait_per_position = self.mean_run_time().div_f64(self.slots.into());
        let longest = run_time
            .mul_f64(NEW_REQUEST_WAIT)
            .max(wait_per_position.mul_f64(WAITING_MIN));
        (longest > Duration::ZERO).then_some(longest)
    }

    /// Notes whether a job that can be in time got a slot. What comes again
    /// after a refusal was noted then.
    fn record_decision(&mut self, route: RankedRoute, late: bool, served: bool) {
        if !late {
            self.statistics.record_decision(route, served);
        }
    }

    fn refuse(&mut self, route: RankedRoute, late: bool, wait: Duration) -> AdmissionDecision {
        self.record_decision(route, late, false);
        self.statistics.record_refusal(route, late);
        let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
        AdmissionDecision::Refuse { retry_after }
    }

    /// Refuses a waiting job whose latest start has passed; `false` if it
    /// doesn't wait any more.
    pub fn expire(&mut self, key: QueueKey) -> bool {
        let queued = self.waiting.remove(&key);
        if let Some(queued) = queued {
            self.record_decision(queued.route, queued.late, false);
            let waited = queued.latest.saturating_sub(queued.requested_at);
            self.record_wait(queued, waited.mul_f64(EXPIRED_WAIT_FACTOR));
        }
        queued.is_some()
    }

    /// Withdraws a waiting job whose caller left; `false` if it doesn't wait
    /// any more.
    pub fn withdraw(&mut self, key: QueueKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Takes in that a job ended and returns the jobs that run now.
    ///
    /// `took` is the time of a whole run; `None` when it was cut short, which
    /// says nothing about the pace.
    pub fn finish(
        &mut self,
        now: Duration,
        route_hash: u64,
        took: Option<Duration>,
    ) -> Vec<QueueKey> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.statistics.record_run(route_hash, took);
        }
        self.grant(now)
    }

    fn record_wait(&mut self, queued: QueuedRequest, waited: Duration) {
        self.statistics
            .record_wait(queued.route, queued.late, queued.planned, waited);
    }

    /// Returns how soon room is expected for a job at `key`'s place.
    fn wait_before(&self, key: QueueKey) -> Duration {
        self.wait_behind(self.waiting.range(..key).count() as u32)
    }

    /// Returns how soon room is expected behind all that wait.
    pub fn wait(&self) -> Duration {
        self.wait_behind(self.waiting())
    }

    fn wait_behind(&self, ahead: u32) -> Duration {
        let excess = (self.running + ahead + 1).saturating_sub(self.slots);
        self.mean_run_time()
            .mul_f64(f64::from(excess) / f64::from(self.slots))
    }

    /// Starts waiting jobs while there is room. Jobs past their latest start
    /// are left to their own timers, which refuse them.
    fn grant(&mut self, now: Duration) -> Vec<QueueKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let next = self.waiting.iter().find(|(_, queued)| queued.latest >= now);
            let Some((&key, &queued)) = next else {
                break;
            };
            self.record_decision(queued.route, queued.late, true);
            self.record_wait(queued, now.saturating_sub(queued.requested_at));
            self.waiting.remove(&key);
            self.running += 1;
            granted.push(key);
        }
        granted
    }
}
