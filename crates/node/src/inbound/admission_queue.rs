//! Admission queue of the backend server: which requests run, wait or are refused.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::route_statistics::{RankedRoute, RouteStatistics};
use crate::rate_limit::{RateLimiter, RequestRate};

/// Run time reserved for a queued request, as a multiple of its route's mean. The factor covers
/// all but the slowest few runs.
const RUN_TIME_FACTOR: f64 = 1.6;
/// Longest wait of a new request, in mean run times. During overload the queue is always as long
/// as it may be. It only has to keep every slot busy, and a longer queue makes responses late.
const NEW_REQUEST_WAIT_RUNS: f64 = 0.5;
/// Number of requests that may wait in any case. With fewer, the queue runs empty whenever some
/// requests arrive later than usual, and a slot stands idle.
const WAITING_MIN: f64 = 4.0;
/// Factor applied to the wait of a request that expired in the queue. How much longer it would
/// have waited isn't known, only that it would have.
const EXPIRED_WAIT_FACTOR: f64 = 1.5;
/// Lower bound of the advised retry delay. A caller that returns sooner only meets the same queue
/// again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
/// Upper bound of the advised retry delay. A queue that refuses requests turns over within a few
/// runs, and a caller that stays away longer misses its own target.
const RETRY_AFTER_MAX: Duration = Duration::from_millis(300);

/// Time for which a preview's admission counts until the request arrives. A large body takes some
/// tens of milliseconds on a slow link.
const PROMISE_TIME: Duration = Duration::from_millis(60);

/// Position of a queued request; the smallest key runs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Whether the request is new. A nested call belongs to a run that has begun.
    is_new: bool,
    rank: u8,
    /// Whether the response can't arrive by its target time any more.
    late: bool,
    target_deadline: Duration,
    order: u64,
}

/// A request to be admitted to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the route, by which run times are kept.
    pub route_hash: u64,
    /// Whether the request is a nested call of a run that has begun.
    pub is_nested: bool,
    /// Whether the request may wait; otherwise it runs at once or not at all.
    pub may_wait: bool,
    /// Target time: the response is of full use until then.
    pub target_deadline: Duration,
    /// Time at which the caller gets a final response.
    pub ends_at: Duration,
}

/// Decision of the queue about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// Every slot is taken, and the request may not wait.
    Busy,
    /// The request waits, and is to be refused if it still does at `latest`.
    Wait {
        /// Position in the queue, by which the request is granted a slot or withdrawn.
        key: QueueKey,
        /// Latest time at which starting the request is of use.
        latest: Duration,
    },
    /// The response could not arrive in time; the request hasn't run.
    Refuse {
        /// Time after which the queue is expected to accept a request.
        retry_after: Duration,
    },
}

/// Admission queue in front of one backend server.
///
/// An unbounded queue in order of arrival serves everyone late once demand exceeds the slots. A
/// bound on the number of requests is too long for a slow backend server and too short for a fast
/// one. So a request whose response can't arrive in time at the current rate is refused on
/// arrival, with the time in which the excess drains.
///
/// Nested calls of runs that have begun go first and may wait as long as those runs, because each
/// refused call wastes the run that made it. All other requests wait for a short time at most,
/// ordered by rank, then by target time. A request that is late already goes behind the others of
/// its rank. A route that is served clearly more often than one of its rank or above is refused
/// until the other has caught up (`RouteStatistics`). The expected wait follows the actual waits,
/// as queued requests are overtaken. A queued request is refused as soon as starting it is of no
/// use.
///
/// While starts are paused, new requests wait even if slots are free. Nested calls still start: the
/// request for which starts are paused may itself be waiting for one.
///
/// While the backend server names a limit, requests start no faster than that, nested calls included,
/// and the expected wait follows whichever is scarcer, the limit or the slots.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    running: u32,
    starts_paused: bool,
    /// Limit that the backend server names; none if it names none.
    limiter: Option<RateLimiter>,
    order: u64,
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    /// Requests that a preview admitted and that haven't arrived: route, and end of the promise.
    promised: VecDeque<(u64, Duration)>,
    statistics: RouteStatistics,
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    route: RankedRoute,
    late: bool,
    latest: Duration,
    requested_at: Duration,
    /// Wait that was expected on arrival if no later request overtook this one.
    planned_wait: Duration,
}

/// Position of a request that is to wait.
#[derive(Debug, Clone, Copy)]
struct PlannedWait {
    key: QueueKey,
    queued: QueuedRequest,
}

impl AdmissionQueue {
    /// Creates an empty queue in front of `slots` slots; at least one is assumed.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            starts_paused: false,
            limiter: None,
            order: 0,
            waiting: BTreeMap::new(),
            promised: VecDeque::new(),
            statistics: RouteStatistics::default(),
        }
    }

    /// Changes the number of slots and returns the requests that start now.
    pub fn set_slots(&mut self, now: Duration, slots: u32) -> Vec<QueueKey> {
        self.slots = slots.max(1);
        self.grant(now)
    }

    /// Pauses starts of new requests, and returns whether it did.
    ///
    /// Starts aren't paused while requests wait: the slots that become free are then needed.
    pub fn pause_starts(&mut self) -> bool {
        self.starts_paused = self.waiting.is_empty();
        self.starts_paused
    }

    /// Resumes starts and returns the requests that start now.
    pub fn resume_starts(&mut self, now: Duration) -> Vec<QueueKey> {
        self.starts_paused = false;
        self.grant(now)
    }

    /// Sets the limit that the backend server names, and returns the requests that start now.
    pub fn set_limit(&mut self, now: Duration, limit: Option<RequestRate>) -> Vec<QueueKey> {
        self.limiter = limit.map(|rate| match self.limiter {
            Some(mut limiter) => {
                limiter.set_rate(now, rate);
                limiter
            }
            None => RateLimiter::new(now, rate),
        });
        self.grant(now)
    }

    /// Starts the requests that the limit allows by now, and returns them.
    pub fn resume_limited(&mut self, now: Duration) -> Vec<QueueKey> {
        self.grant(now)
    }

    /// Returns when the limit allows the next start; none if no request waits for that.
    pub fn next_limited_start(&self, now: Duration) -> Option<Duration> {
        if self.running >= self.slots {
            return None;
        }
        let limiter = self.limiter?;
        let mut waiting = self.waiting.iter();
        let waits_for_limit = waiting
            .any(|(key, queued)| queued.latest >= now && !(key.is_new && self.starts_paused));
        waits_for_limit.then(|| now + limiter.wait(now, 0))
    }

    /// Returns whether the limit, and not the slots, delays a request that arrives now.
    pub fn is_limit_binding(&self, now: Duration) -> bool {
        self.limit_wait(now, self.waiting()) > self.slot_wait(self.waiting())
    }

    /// Returns how long the limit delays a request that starts after `ahead` others.
    pub fn limit_wait(&self, now: Duration, ahead: u32) -> Duration {
        self.limiter
            .map_or(Duration::ZERO, |limiter| limiter.wait(now, ahead))
    }

    /// Returns whether a new request or a nested call may start now.
    fn may_start(&self, now: Duration, is_nested: bool) -> bool {
        self.running < self.slots
            && (is_nested || !self.starts_paused)
            && self.limit_wait(now, 0).is_zero()
    }

    /// Records that a request starts.
    fn record_start(&mut self, now: Duration) {
        self.running += 1;
        if let Some(limiter) = &mut self.limiter {
            limiter.record_start(now);
        }
    }

    /// Returns the number of requests that hold a slot.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the mean run time over all routes; zero while unknown.
    pub fn mean_run_time(&self) -> Duration {
        self.statistics.mean_run_time()
    }

    /// Returns the mean run time of one route, or of all routes while unknown.
    pub fn mean_run_time_of(&self, route_hash: u64) -> Duration {
        self.statistics.mean_run_time_of(RankedRoute {
            rank: 0,
            route_hash,
        })
    }

    /// Decides whether a request runs, waits or is refused.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::{AdmissionQueue, AdmissionRequest, AdmissionDecision};
    ///
    /// let mut queue = AdmissionQueue::new(1);
    /// let target_deadline = Duration::from_millis(400);
    /// let ends_at = Duration::from_millis(1_000);
    /// let request =
    ///     AdmissionRequest { rank: 1, route_hash: 7, is_nested: false, may_wait: true, target_deadline, ends_at };
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
        // A queued request that the limit allows by now starts first, even if its timer is late.
        let is_overtaking = self.limiter.is_some() && !self.waiting.is_empty();
        let may_start = !is_overtaking && self.may_start(now, request.is_nested);
        if !may_start && !request.may_wait {
            return AdmissionDecision::Busy;
        }
        self.statistics.record_request(now, route);
        self.redeem_promise(request.route_hash);
        if may_start {
            self.record_start(now);
            self.record_decision(route, self.is_late(now, &request), true);
            return AdmissionDecision::Run;
        }
        match self.plan_wait(now, &request, 0) {
            Ok(plan) => {
                let (key, latest) = (plan.key, plan.queued.latest);
                self.waiting.insert(key, plan.queued);
                AdmissionDecision::Wait { key, latest }
            }
            Err(wait) => self.refuse(route, self.is_late(now, &request), wait),
        }
    }

    /// Decides whether a request would be admitted, for a sender that hasn't sent it yet.
    ///
    /// A refusal counts like that of a request. An admission counts against further previews until
    /// the request arrives, so that senders that ask in the same moment don't all get the same
    /// answer. The request may still be refused when it arrives. Returns the time after which the
    /// queue is expected to accept a request that is refused.
    ///
    /// # Errors
    ///
    /// Fails if the request would be refused.
    pub fn preview(&mut self, now: Duration, request: AdmissionRequest) -> Result<(), Duration> {
        while self.promised.front().is_some_and(|&(_, end)| end <= now) {
            self.promised.pop_front();
        }
        let promised = self.promised.len() as u32;
        let has_slot = self.running + promised < self.slots;
        let has_room = has_slot && self.limit_wait(now, promised).is_zero();
        if !(has_room && self.may_start(now, request.is_nested)) {
            let route = RankedRoute {
                rank: request.rank,
                route_hash: request.route_hash,
            };
            if let Err(wait) = self.plan_wait(now, &request, promised) {
                self.statistics.record_request(now, route);
                self.refuse(route, self.is_late(now, &request), wait);
                return Err(wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
            }
        }
        let promise = (request.route_hash, now + PROMISE_TIME);
        self.promised.push_back(promise);
        Ok(())
    }

    /// Ends the oldest promise for a request of this route, which has arrived.
    fn redeem_promise(&mut self, route_hash: u64) {
        let mut promised = self.promised.iter();
        let promise = promised.position(|&(promised_route, _)| promised_route == route_hash);
        if let Some(position) = promise {
            self.promised.remove(position);
        }
    }

    /// Whether the response to a new request can't arrive by its target time.
    fn is_late(&self, now: Duration, request: &AdmissionRequest) -> bool {
        let run_time = self.mean_run_time_of(request.route_hash);
        !request.is_nested && now + run_time > request.target_deadline
    }

    /// Plans the wait of a request for which no slot is free, behind `promised` requests that have
    /// yet to arrive.
    ///
    /// Fails with the time by which the request would start too late.
    fn plan_wait(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        promised: u32,
    ) -> Result<PlannedWait, Duration> {
        let route = RankedRoute {
            rank: request.rank,
            route_hash: request.route_hash,
        };
        let run_time = self.statistics.mean_run_time_of(route);
        let late = self.is_late(now, request);
        if !request.is_nested && self.statistics.is_ahead(now, route) {
            return Err(self.wait(now));
        }
        self.order += 1;
        let key = QueueKey {
            is_new: !request.is_nested,
            rank: request.rank,
            late,
            target_deadline: request.target_deadline,
            order: self.order,
        };
        let useful_until = if request.is_nested || late {
            request.ends_at
        } else {
            request.target_deadline
        };
        let mut latest = useful_until.saturating_sub(run_time.mul_f64(RUN_TIME_FACTOR));
        if let Some(longest) = self.longest_wait(run_time).filter(|_| !request.is_nested) {
            latest = latest.min(now + longest);
        }
        let planned_wait = self.wait_before(now, key, promised);
        let start = now + self.statistics.expected_wait(route, late, planned_wait);
        if start > latest {
            return Err(start.saturating_sub(latest));
        }
        let queued = QueuedRequest {
            route,
            late,
            latest,
            requested_at: now,
            planned_wait,
        };
        Ok(PlannedWait { key, queued })
    }

    /// Returns how long a new request with this mean run time may wait. Returns `None` after a
    /// start, when no run has ended yet and only the target time bounds the wait.
    fn longest_wait(&self, run_time: Duration) -> Option<Duration> {
        let wait_per_slot = self.mean_run_time().div_f64(self.slots.into());
        let interval = self
            .limiter
            .map_or(Duration::ZERO, |limiter| limiter.interval());
        let wait_per_position = wait_per_slot.max(interval);
        let longest = run_time
            .mul_f64(NEW_REQUEST_WAIT_RUNS)
            .max(wait_per_position.mul_f64(WAITING_MIN));
        (longest > Duration::ZERO).then_some(longest)
    }

    /// Records whether a request that can be in time got a slot. Late requests are left out: a
    /// retry was counted when it was refused.
    fn record_decision(&mut self, route: RankedRoute, late: bool, served: bool) {
        if !late {
            self.statistics.record_decision(route, served);
        }
    }

    fn refuse(&mut self, route: RankedRoute, late: bool, wait: Duration) -> AdmissionDecision {
        self.record_decision(route, late, false);
        self.statistics.record_refusal(route, late);
        let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        AdmissionDecision::Refuse { retry_after }
    }

    /// Refuses a queued request whose latest start has passed. Returns `false` if the request
    /// isn't queued any more.
    pub fn expire(&mut self, key: QueueKey) -> bool {
        let queued = self.waiting.remove(&key);
        if let Some(queued) = queued {
            self.record_decision(queued.route, queued.late, false);
            let waited = queued.latest.saturating_sub(queued.requested_at);
            self.record_wait(queued, waited.mul_f64(EXPIRED_WAIT_FACTOR));
        }
        queued.is_some()
    }

    /// Withdraws a queued request whose caller left. Returns `false` if the request isn't queued
    /// any more.
    pub fn withdraw(&mut self, key: QueueKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Frees the slot of an ended request and returns the requests that start now.
    ///
    /// `took` is the time of a complete run. It is `None` for a run that was cut short, which says
    /// nothing about run times.
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
            .record_wait(queued.route, queued.late, queued.planned_wait, waited);
    }

    /// Returns the planned wait of a request at the position of `key`, behind `promised` ones that
    /// have yet to arrive, if none overtakes it.
    fn wait_before(&self, now: Duration, key: QueueKey, promised: u32) -> Duration {
        self.wait_behind(now, self.waiting.range(..key).count() as u32 + promised)
    }

    /// Returns the planned wait at the end of the queue, if no later request overtakes.
    pub fn wait(&self, now: Duration) -> Duration {
        self.wait_behind(now, self.waiting())
    }

    fn wait_behind(&self, now: Duration, ahead: u32) -> Duration {
        self.slot_wait(ahead).max(self.limit_wait(now, ahead))
    }

    /// Returns how long a request behind `ahead` others waits for a slot.
    fn slot_wait(&self, ahead: u32) -> Duration {
        let excess = (self.running + ahead + 1).saturating_sub(self.slots);
        self.mean_run_time()
            .mul_f64(f64::from(excess) / f64::from(self.slots))
    }

    /// Starts queued requests while slots are free. Requests past their latest start are skipped:
    /// their own timers refuse them.
    fn grant(&mut self, now: Duration) -> Vec<QueueKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let next = self.waiting.iter().find(|(_, queued)| queued.latest >= now);
            let Some((&key, &queued)) = next else {
                break;
            };
            if !self.may_start(now, !key.is_new) {
                break;
            }
            self.record_decision(queued.route, queued.late, true);
            self.record_wait(queued, now.saturating_sub(queued.requested_at));
            self.waiting.remove(&key);
            self.record_start(now);
            granted.push(key);
        }
        granted
    }
}
