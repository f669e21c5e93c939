//! What is known of each class of requests at one inbound proxy.

use std::{collections::HashMap, time::Duration};

use crate::member::MovingMean;

/// Weight of one run in the mean service time.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Weight of one verdict in the served share of a class: it follows a change
/// of the load within some thirty verdicts, less than a second when busy.
const SERVED_WEIGHT: f64 = 0.03;
/// Verdicts from which on a served share is compared with others. By fewer a seldom used
/// route looks far ahead after one request that was served.
const DECISIONS_MIN: u32 = 10;
/// Lead in the served share that a class may have over one of its rank or above. Requests
/// with several calls need all of them served, so equal shares would leave them behind.
const LEAD_MAX: f64 = 0.1;
/// Time after its last offer for which a class is compared with others.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Weight of one wait in the measured pace of the queue: it follows a burst of
/// more urgent work within ten or twenty jobs.
const WAIT_RATIO_WEIGHT: f64 = 0.1;
/// Weight by which the pace goes back to the planned one with each job that is
/// refused for it: without jobs that wait it isn't measured.
const WAIT_RATIO_RECOVERY_WEIGHT: f64 = 0.01;
/// Bounds of the measured pace, in planned waits. Beyond them a single wait,
/// planned as a millisecond, would say more than the others together.
const WAIT_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=16.0;

/// Class of requests, with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct RankedRoute {
    pub(super) rank: u8,
    pub(super) route_hash: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteRecord {
    rank: u8,
    run_time: MovingMean,
    served: MovingMean,
    /// Verdicts that the served share rests on.
    decisions: u32,
    /// Waits in planned ones, of jobs that can be in time.
    wait_ratio: MovingMean,
    /// The same of those that can't.
    late_wait_ratio: MovingMean,
    last_request_at: Duration,
}

impl RouteRecord {
    /// Returns the served share, once it rests on enough verdicts.
    fn served_share(&self) -> Option<f64> {
        self.served
            .get()
            .filter(|_| self.decisions >= DECISIONS_MIN)
    }
}

/// What is known of each class of requests at one inbound proxy: how long they run and what share
/// of them is served.
///
/// When two classes of one rank share a full backend server, an order by target times
/// serves the class with short targets whole, and the other takes the whole of the
/// shortage. Served shares are compared so that no class gets far ahead of one of its
/// rank or above.
#[derive(Debug, Default)]
pub(super) struct RouteStatistics {
    records: HashMap<u64, RouteRecord>,
    overall_run_time: MovingMean,
}

impl RouteStatistics {
    /// Notes an offer.
    pub(super) fn record_request(&mut self, now: Duration, route: RankedRoute) {
        let record = self.records.entry(route.route_hash).or_default();
        record.rank = route.rank;
        record.last_request_at = now;
    }

    /// Notes whether an offer got a slot.
    pub(super) fn record_decision(&mut self, route: RankedRoute, served: bool) {
        if let Some(record) = self.records.get_mut(&route.route_hash) {
            let served = f64::from(u8::from(served));
            record.decisions = record.decisions.saturating_add(1);
            // The first verdicts count alike, not the very first for most.
            let weight = SERVED_WEIGHT.max(1.0 / f64::from(record.decisions));
            record.served.observe(served, weight);
        }
    }

    /// Notes how long a job waited, beside what was planned.
    pub(super) fn record_wait(
        &mut self,
        route: RankedRoute,
        late: bool,
        planned: Duration,
        waited: Duration,
    ) {
        let planned = planned.as_secs_f64();
        if planned <= 0.0 {
            return;
        }
        let wait_ratio = waited.as_secs_f64() / planned;
        let wait_ratio = wait_ratio.clamp(*WAIT_RATIO_BOUNDS.start(), *WAIT_RATIO_BOUNDS.end());
        self.wait_ratio_mut(route, late)
            .observe(wait_ratio, WAIT_RATIO_WEIGHT);
    }

    /// Notes that a job was refused.
    pub(super) fn record_refusal(&mut self, route: RankedRoute, late: bool) {
        let wait_ratio = self.wait_ratio_mut(route, late);
        if wait_ratio.get().is_some() {
            wait_ratio.observe(1.0, WAIT_RATIO_RECOVERY_WEIGHT);
        }
    }

    /// Returns how long a wait really takes that is planned so.
    pub(super) fn expected_wait(
        &mut self,
        route: RankedRoute,
        late: bool,
        planned: Duration,
    ) -> Duration {
        planned.mul_f64(self.wait_ratio_mut(route, late).get().unwrap_or(1.0))
    }

    fn wait_ratio_mut(&mut self, route: RankedRoute, late: bool) -> &mut MovingMean {
        let record = self.records.entry(route.route_hash).or_default();
        if late {
            &mut record.late_wait_ratio
        } else {
            &mut record.wait_ratio
        }
    }

    /// Notes a whole run.
    pub(super) fn record_run(&mut self, route_hash: u64, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall_run_time.observe(seconds, RUN_TIME_WEIGHT);
        if let Some(record) = self.records.get_mut(&route_hash) {
            record.run_time.observe(seconds, RUN_TIME_WEIGHT);
        }
    }

    /// Returns the mean time of a run; zero while unknown.
    pub(super) fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall_run_time.get().unwrap_or(0.0))
    }

    /// Returns the mean time of a run of one class.
    pub(super) fn mean_run_time_of(&self, route: RankedRoute) -> Duration {
        let known = self
            .records
            .get(&route.route_hash)
            .and_then(|record| record.run_time.get());
        known.map_or_else(|| self.mean_run_time(), Duration::from_secs_f64)
    }

    /// Whether a class is served clearly more often than another of its rank
    /// or above that wants to be served, too.
    pub(super) fn is_ahead(&self, now: Duration, route: RankedRoute) -> bool {
        let Some(own) = self
            .records
            .get(&route.route_hash)
            .and_then(RouteRecord::served_share)
        else {
            return false;
        };
        self.records.iter().any(|(&route_hash, record)| {
            let rival = route_hash != route.route_hash && record.rank <= route.rank;
            let active = now < record.last_request_at + ACTIVE_TIME;
            let served = record.served_share();
            rival && active && served.is_some_and(|served| own - served > LEAD_MAX)
        })
    }
}
