//! Admission queue of the backend server: which requests run, wait or are refused.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    AdmissionDecision, AdmissionRequest, DisplacedRequest, FlowRequest, QueueKey,
    fair_schedule::FairSchedule,
    queued_request::QueuedRequest,
    route_statistics::{RankedRoute, RouteStatistics},
};
use crate::{
    pace::{FinishedRun, PaceTracker},
    rate_limit::RateLimiter,
};

/// Factor applied to the wait of a request that expired in the queue. How much longer it would
/// have waited isn't known, only that it would have.
const EXPIRED_WAIT_FACTOR: f64 = 1.5;
/// Lower bound of the advised retry delay. A caller that returns sooner only meets the same queue
/// again.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
/// Upper bound of the advised retry delay. A queue that refuses requests turns over within a few
/// runs, and a caller that stays away longer misses its own target.
pub(super) const RETRY_AFTER_MAX: Duration = Duration::from_millis(300);

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
/// Accounts of one rank are served in turn (`FairSchedule`). Among requests with an account, this
/// takes the place of the order by target time between accounts, of the comparison of routes of one
/// rank, and of the wait as actual waits suggest it: the position in the order says who is overtaken.
/// A request that goes before others may leave them no time to start; those are refused at once.
///
/// While the backend server reports a pace that helps to predict run times, expected run times and
/// waits follow it.
///
/// While starts are paused, new requests wait even if slots are free. Nested calls still start: the
/// request for which starts are paused may itself be waiting for one.
///
/// While the backend server names a limit, requests start no faster than that, nested calls included,
/// and the expected wait follows whichever is scarcer, the limit or the slots.
#[derive(Debug)]
pub struct AdmissionQueue {
    pub(super) slots: u32,
    pub(super) running: u32,
    pub(super) starts_paused: bool,
    /// Limit that the backend server names; none if it names none.
    pub(super) limiter: Option<RateLimiter>,
    pub(super) order: u64,
    pub(super) waiting: BTreeMap<QueueKey, QueuedRequest>,
    /// Requests that a preview admitted and that haven't arrived: route, and end of the promise.
    pub(super) promised: VecDeque<(u64, Duration)>,
    pub(super) statistics: RouteStatistics,
    pub(super) schedule: FairSchedule,
    /// Load and pace that the backend server reports.
    pub(super) pace: PaceTracker,
    /// Requests that were removed from the queue and are to be refused.
    pub(super) displaced: Vec<DisplacedRequest>,
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
            schedule: FairSchedule::default(),
            pace: PaceTracker::default(),
            displaced: Vec::new(),
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

    /// Returns whether a new request or a nested call may start now.
    pub(super) fn may_start(&self, now: Duration, is_nested: bool) -> bool {
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

    /// Returns the number of accounts that are told apart.
    pub fn account_count(&self) -> usize {
        self.schedule.account_count()
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
    /// use geranium_node::admission::{AdmissionQueue, AdmissionRequest, AdmissionDecision};
    ///
    /// let mut queue = AdmissionQueue::new(1);
    /// let target_deadline = Duration::from_millis(400);
    /// let ends_at = Duration::from_millis(1_000);
    /// let request =
    ///     AdmissionRequest { rank: 1, route_hash: 7, account: None, fingerprint: None, is_nested: false, may_wait: true, is_only_member: false, target_deadline, ends_at };
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
        let late = self.is_late(now, &request);
        let flow_request = self.schedule.record_request(now, &request, late);
        if may_start {
            let run_time = self.expected_run_time_of(now, route.route_hash);
            if !request.is_nested {
                self.schedule
                    .record_start(route.rank, flow_request.flow, run_time);
            }
            self.record_start(now);
            self.record_decision(route, flow_request, late, true);
            return AdmissionDecision::Run;
        }
        match self.plan_wait(now, &request, 0) {
            Ok(plan) => {
                let (key, latest) = (plan.key, plan.queued.latest);
                self.waiting.insert(key, plan.queued);
                if flow_request.flow.has_account() {
                    self.displace_behind(now, key);
                }
                AdmissionDecision::Wait { key, latest }
            }
            Err(wait) => self.refuse(route, flow_request, late, wait),
        }
    }

    /// Records whether a request that can be in time got a slot. Late requests are left out: a
    /// retry was counted when it was refused.
    pub(super) fn record_decision(
        &mut self,
        route: RankedRoute,
        flow_request: FlowRequest,
        late: bool,
        served: bool,
    ) {
        self.schedule
            .record_decision(route.rank, flow_request, served);
        if !late {
            self.statistics.record_decision(route, served);
        }
    }

    pub(super) fn refuse(
        &mut self,
        route: RankedRoute,
        flow_request: FlowRequest,
        late: bool,
        wait: Duration,
    ) -> AdmissionDecision {
        self.record_decision(route, flow_request, late, false);
        if !flow_request.flow.has_account() {
            self.statistics.record_refusal(route, late);
        }
        let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        AdmissionDecision::Refuse { retry_after }
    }

    /// Refuses a queued request whose latest start has passed. Returns `false` if the request
    /// isn't queued any more.
    pub fn expire(&mut self, key: QueueKey) -> bool {
        let queued = self.waiting.remove(&key);
        if let Some(queued) = queued {
            self.record_decision(queued.route, queued.flow_request, queued.late, false);
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
        self.finish_run(now, FinishedRun::new(route_hash, took))
    }

    fn record_wait(&mut self, queued: QueuedRequest, waited: Duration) {
        if !queued.flow_request.flow.has_account() {
            self.statistics
                .record_wait(queued.route, queued.late, queued.planned_wait, waited);
        }
    }

    /// Starts queued requests while slots are free. Requests past their latest start are skipped:
    /// their own timers refuse them.
    pub(super) fn grant(&mut self, now: Duration) -> Vec<QueueKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let Some((key, queued)) = self.next_queued(now) else {
                break;
            };
            if !self.may_start(now, !key.is_new) {
                break;
            }
            self.record_decision(queued.route, queued.flow_request, queued.late, true);
            if key.is_new {
                self.schedule
                    .record_start(key.rank, queued.flow_request.flow, queued.run_time);
            }
            let waited = now.saturating_sub(queued.requested_at);
            // Only a request for the only member waits beyond its plan. The backend server paused then,
            // which says nothing about the order of the queue.
            if waited <= queued.longest_plan {
                self.record_wait(queued, waited);
            }
            self.waiting.remove(&key);
            self.record_start(now);
            granted.push(key);
        }
        granted
    }

    /// Returns the request that starts next, unless its latest start has passed.
    fn next_queued(&self, now: Duration) -> Option<(QueueKey, QueuedRequest)> {
        if self.schedule.is_unused() {
            let mut waiting = self.waiting.iter();
            let next = waiting.find(|(_, queued)| queued.latest >= now);
            return next.map(|(&key, &queued)| (key, queued));
        }
        let order = self.schedule.service_order(&self.waiting).into_iter();
        let mut queued = order.filter_map(|key| Some((key, *self.waiting.get(&key)?)));
        queued.find(|(_, queued)| queued.latest >= now)
    }
}
