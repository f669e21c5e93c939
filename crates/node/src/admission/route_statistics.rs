//! Run times, served shares and waits of each route at one inbound proxy.

use std::{collections::HashMap, time::Duration};

use crate::member::MovingMean;

/// Weight of one run in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Weight of one decision in the served share of a route. The share follows a change of load
/// within some thirty decisions, which takes less than a second under load.
const SERVED_SHARE_WEIGHT: f64 = 0.03;
/// Number of decisions from which on a served share is compared with others. With fewer, a seldom
/// used route looks far ahead after one request that was served.
const DECISIONS_MIN: u32 = 10;
/// Largest lead of a route's served share over that of another route of the same or a more urgent
/// rank. Equal shares would leave behind requests with several nested calls, which need all of
/// them served.
const LEAD_MAX: f64 = 0.1;
/// Time after its last request for which a route is compared with others.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Weight of one wait in the wait ratio of a route. The ratio follows a burst of more urgent
/// requests within ten or twenty requests.
const WAIT_RATIO_WEIGHT: f64 = 0.1;
/// Weight by which each refusal moves the wait ratio back towards 1. Without requests that wait,
/// no new wait updates the ratio.
const WAIT_RATIO_RECOVERY_WEIGHT: f64 = 0.01;
/// Bounds of the wait ratio. Without them a single request whose expected wait was a millisecond
/// would outweigh all others together.
const WAIT_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=16.0;

/// A route with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RankedRoute {
    pub(super) rank: u8,
    pub(super) route_hash: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteRecord {
    rank: u8,
    run_time: MovingMean,
    /// Run time at the usual pace; none while no pace is reported.
    base_run_time: MovingMean,
    served: MovingMean,
    /// Number of decisions behind the served share.
    decisions: u32,
    /// Ratio of actual to planned wait, for requests that can be in time.
    wait_ratio: MovingMean,
    /// Ratio of actual to planned wait, for requests that are late already.
    late_wait_ratio: MovingMean,
    last_request_at: Duration,
}

impl RouteRecord {
    /// Returns the served share, once enough decisions support it.
    fn served_share(&self) -> Option<f64> {
        self.served
            .get()
            .filter(|_| self.decisions >= DECISIONS_MIN)
    }
}

/// Run times, served shares and waits of each route at one inbound proxy.
///
/// When two routes of one rank share a full backend server, an order by target time alone serves
/// the route with short targets completely, and the other bears the whole shortage. The served
/// shares are compared so that no route gets far ahead of another of the same or a more urgent
/// rank.
#[derive(Debug, Default)]
pub(super) struct RouteStatistics {
    records: HashMap<u64, RouteRecord>,
    overall_run_time: MovingMean,
    overall_base_run_time: MovingMean,
}

impl RouteStatistics {
    /// Records the arrival of a request.
    pub(super) fn record_request(&mut self, now: Duration, route: RankedRoute) {
        let record = self.records.entry(route.route_hash).or_default();
        record.rank = route.rank;
        record.last_request_at = now;
    }

    /// Records whether a request got a slot.
    pub(super) fn record_decision(&mut self, route: RankedRoute, served: bool) {
        if let Some(record) = self.records.get_mut(&route.route_hash) {
            let served = f64::from(u8::from(served));
            record.decisions = record.decisions.saturating_add(1);
            // Weighs the first decisions equally, so that the very first doesn't dominate.
            let weight = SERVED_SHARE_WEIGHT.max(1.0 / f64::from(record.decisions));
            record.served.observe(served, weight);
        }
    }

    /// Records how long a request waited, relative to the planned wait, which it ignores if zero.
    pub(super) fn record_wait(
        &mut self,
        route: RankedRoute,
        late: bool,
        planned_wait: Duration,
        waited: Duration,
    ) {
        let planned_wait = planned_wait.as_secs_f64();
        if planned_wait <= 0.0 {
            return;
        }
        let wait_ratio = waited.as_secs_f64() / planned_wait;
        let wait_ratio = wait_ratio.clamp(*WAIT_RATIO_BOUNDS.start(), *WAIT_RATIO_BOUNDS.end());
        let mean = self.wait_ratio_mut(route, late);
        if mean.get().is_none() {
            // Otherwise a first wait in a pause of the backend server would make the mean.
            mean.observe(1.0, WAIT_RATIO_WEIGHT);
        }
        mean.observe(wait_ratio, WAIT_RATIO_WEIGHT);
    }

    /// Records that a request was refused on arrival.
    pub(super) fn record_refusal(&mut self, route: RankedRoute, late: bool) {
        let wait_ratio = self.wait_ratio_mut(route, late);
        if wait_ratio.get().is_some() {
            wait_ratio.observe(1.0, WAIT_RATIO_RECOVERY_WEIGHT);
        }
    }

    /// Scales a planned wait by the route's recent ratio of actual to planned waits.
    pub(super) fn expected_wait(
        &mut self,
        route: RankedRoute,
        late: bool,
        planned_wait: Duration,
    ) -> Duration {
        planned_wait.mul_f64(self.wait_ratio_mut(route, late).get().unwrap_or(1.0))
    }

    fn wait_ratio_mut(&mut self, route: RankedRoute, late: bool) -> &mut MovingMean {
        let record = self.records.entry(route.route_hash).or_default();
        if late {
            &mut record.late_wait_ratio
        } else {
            &mut record.wait_ratio
        }
    }

    /// Records the time of a complete run.
    pub(super) fn record_run(&mut self, route_hash: u64, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall_run_time.observe(seconds, RUN_TIME_WEIGHT);
        if let Some(record) = self.records.get_mut(&route_hash) {
            record.run_time.observe(seconds, RUN_TIME_WEIGHT);
        }
    }

    /// Records the time that a complete run would have taken at the usual pace.
    pub(super) fn record_base_run(&mut self, route_hash: u64, base_run_time: Duration) {
        let seconds = base_run_time.as_secs_f64();
        self.overall_base_run_time.observe(seconds, RUN_TIME_WEIGHT);
        if let Some(record) = self.records.get_mut(&route_hash) {
            record.base_run_time.observe(seconds, RUN_TIME_WEIGHT);
        }
    }

    /// Forgets the run times at the usual pace.
    pub(super) fn forget_base_runs(&mut self) {
        self.overall_base_run_time = MovingMean::default();
        for record in self.records.values_mut() {
            record.base_run_time = MovingMean::default();
        }
    }

    /// Returns the mean run time at the usual pace over all routes; none while unknown.
    pub(super) fn base_run_time(&self) -> Option<Duration> {
        self.overall_base_run_time
            .get()
            .map(Duration::from_secs_f64)
    }

    /// Returns the mean run time of one route at the usual pace, or of all routes while unknown.
    pub(super) fn base_run_time_of(&self, route: RankedRoute) -> Option<Duration> {
        let record = self.records.get(&route.route_hash);
        let route_mean = record.and_then(|record| record.base_run_time.get());
        route_mean
            .map(Duration::from_secs_f64)
            .or_else(|| self.base_run_time())
    }

    /// Returns the mean run time over all routes; zero while unknown.
    pub(super) fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_run_time.get().unwrap_or(0.0))
    }

    /// Returns the mean run time of one route, or of all routes while unknown.
    pub(super) fn mean_run_time_of(&self, route: RankedRoute) -> Duration {
        let route_mean = self
            .records
            .get(&route.route_hash)
            .and_then(|record| record.run_time.get());
        route_mean.map_or_else(|| self.mean_run_time(), Duration::from_secs_f64)
    }

    /// Whether the served share of a route is more than [`LEAD_MAX`] above that of a competitor.
    /// Competitors are the other routes of the same or a more urgent rank that had a request
    /// within [`ACTIVE_TIME`]. With `only_more_urgent`, those of the same rank aren't competitors.
    pub(super) fn is_ahead(
        &self,
        now: Duration,
        route: RankedRoute,
        only_more_urgent: bool,
    ) -> bool {
        let Some(own) = self
            .records
            .get(&route.route_hash)
            .and_then(RouteRecord::served_share)
        else {
            return false;
        };
        self.records.iter().any(|(&route_hash, record)| {
            let is_urgent =
                record.rank < route.rank || (record.rank == route.rank && !only_more_urgent);
            let is_competitor = route_hash != route.route_hash && is_urgent;
            let active = now < record.last_request_at + ACTIVE_TIME;
            let served = record.served_share();
            is_competitor && active && served.is_some_and(|served| own - served > LEAD_MAX)
        })
    }
}
