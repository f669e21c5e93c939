//! Planned waits of requests for which no slot is free.

use std::time::Duration;

use super::{
    AdmissionQueue, AdmissionRequest, QueueKey,
    queued_request::{PlannedWait, QueuedRequest},
    route_statistics::RankedRoute,
};

/// Run time reserved for a queued request, as a multiple of its route's mean. The factor covers
/// all but the slowest few runs.
pub(super) const RUN_TIME_FACTOR: f64 = 1.6;
/// Longest wait of a new request, in mean run times. During overload the queue is always as long
/// as it may be. It only has to keep every slot busy, and a longer queue makes responses late.
const NEW_REQUEST_WAIT_RUNS: f64 = 0.5;
/// Factor on the longest wait of a request whose account has had no more than the others. It is
/// served next, and with a short wait a few such requests at once would refuse each other.
const DUE_WAIT_FACTOR: f64 = 2.0;
/// Number of requests that may wait in any case. With fewer, the queue runs empty whenever some
/// requests arrive later than usual, and a slot stands idle.
const WAITING_MIN: f64 = 4.0;
/// Share of the time until its response has to arrive for which a new request may wait in any case.
/// Runs may be far shorter than the pauses of a server or an instance, and a pause is no shortage.
const PAUSE_WAIT_SHARE: f64 = 0.1;
/// Upper bound of the wait that [`PAUSE_WAIT_SHARE`] allows. It bounds the queue in front of a server
/// with short runs whose callers have much time.
const PAUSE_WAIT_MAX: Duration = Duration::from_millis(100);

impl AdmissionQueue {
    /// Whether the response to a new request can't arrive by its target time.
    pub(super) fn is_late(&self, now: Duration, request: &AdmissionRequest) -> bool {
        let run_time = self.expected_run_time_of(now, request.route_hash);
        !request.is_nested && now + run_time > request.target_deadline
    }

    /// Plans the wait of a request for which no slot is free, behind `promised` requests that have
    /// yet to arrive.
    ///
    /// Fails with the time by which the request would start too late.
    pub(super) fn plan_wait(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        promised: u32,
    ) -> Result<PlannedWait, Duration> {
        let route = RankedRoute {
            rank: request.rank,
            route_hash: request.route_hash,
        };
        let run_time = self.expected_run_time_of(now, route.route_hash);
        let late = self.is_late(now, request);
        let flow_request = self.schedule.flow_request(request, late);
        let flow = flow_request.flow;
        if !request.is_nested && self.statistics.is_ahead(now, route, flow.has_account()) {
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
        // A request that its account is owed is of use until its end, or an account whose runs take
        // nearly as long as its target time would never be served in a shortage.
        let is_owed = self.schedule.is_owed(request.rank, flow);
        let useful_until = if request.is_nested || late || is_owed {
            request.ends_at
        } else {
            request.target_deadline
        };
        let reserved = run_time.mul_f64(RUN_TIME_FACTOR);
        let mut latest = useful_until.saturating_sub(reserved);
        let mut longest_plan = Duration::MAX;
        if let Some(longest) = self
            .longest_wait(now, run_time)
            .filter(|_| !request.is_nested)
        {
            let longest = if self.schedule.is_due(request.rank, flow) {
                longest.mul_f64(DUE_WAIT_FACTOR)
            } else {
                longest
            };
            longest_plan = longest.max(pause_wait(now, request));
            let short = latest.min(now + longest_plan);
            latest = if request.is_only_member {
                // A request that waits longer than planned has no better place to go.
                short.max(latest.min(request.ends_at.saturating_sub(reserved)))
            } else {
                short
            };
        }
        let mut queued = QueuedRequest {
            route,
            flow_request,
            run_time,
            late,
            useful_until,
            latest,
            longest_plan,
            requested_at: now,
            planned_wait: Duration::ZERO,
        };
        let ahead = self.requests_ahead(key, queued) + promised;
        queued.planned_wait = self.wait_behind(now, ahead);
        let expected_wait = if flow.has_account() {
            queued.planned_wait
        } else {
            self.statistics
                .expected_wait(route, late, queued.planned_wait)
        };
        let start = now + expected_wait;
        // The plan bounds the queue also where requests wait for longer than planned in a pause.
        let beyond_plan = expected_wait
            .min(queued.planned_wait)
            .saturating_sub(longest_plan);
        let late_by = start.saturating_sub(latest).max(beyond_plan);
        if late_by > Duration::ZERO {
            return Err(late_by);
        }
        Ok(PlannedWait { key, queued })
    }

    /// Returns how long a new request with this mean run time may wait. Returns `None` after a
    /// start, when no run has ended yet and only the target time bounds the wait.
    pub(super) fn longest_wait(&self, now: Duration, run_time: Duration) -> Option<Duration> {
        // Computed as in `slot_wait`, so that as many may wait exactly.
        let by_slots = self
            .expected_run_time(now)
            .mul_f64(WAITING_MIN / f64::from(self.slots));
        let interval = self
            .limiter
            .map_or(Duration::ZERO, |limiter| limiter.interval());
        let longest = run_time
            .mul_f64(NEW_REQUEST_WAIT_RUNS)
            .max(by_slots)
            .max(interval.mul_f64(WAITING_MIN));
        (longest > Duration::ZERO).then_some(longest)
    }

    /// Returns the number of queued requests that are served before one with this `key`.
    fn requests_ahead(&mut self, key: QueueKey, queued: QueuedRequest) -> u32 {
        if self.schedule.is_unused() || !key.is_new {
            return self.waiting.range(..key).count() as u32;
        }
        self.waiting.insert(key, queued);
        let mut order = self.schedule.service_order(&self.waiting).into_iter();
        let ahead = order.position(|other| other == key);
        self.waiting.remove(&key);
        ahead.unwrap_or(self.waiting.len()) as u32
    }

    /// Returns the planned wait at the end of the queue, if no later request overtakes.
    pub fn wait(&self, now: Duration) -> Duration {
        self.wait_behind(now, self.waiting())
    }

    pub(super) fn wait_behind(&self, now: Duration, ahead: u32) -> Duration {
        self.slot_wait(now, ahead).max(self.limit_wait(now, ahead))
    }

    /// Returns how long a request behind `ahead` others waits for a slot.
    pub(super) fn slot_wait(&self, now: Duration, ahead: u32) -> Duration {
        let requests = self.running + self.elsewhere(now) + ahead + 1;
        let excess = requests.saturating_sub(self.slots);
        self.expected_run_time(now)
            .mul_f64(f64::from(excess) / f64::from(self.slots))
    }
}

/// Returns how long a request may wait in a pause of the backend server.
fn pause_wait(now: Duration, request: &AdmissionRequest) -> Duration {
    let useful_until = request.target_deadline.min(request.ends_at);
    let remaining = useful_until.saturating_sub(now);
    remaining.mul_f64(PAUSE_WAIT_SHARE).min(PAUSE_WAIT_MAX)
}
