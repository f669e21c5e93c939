//! Members of one service and their mean load.

use std::time::Duration;

use super::{LoadReport, MemberKey, MovingMean};

/// Weight of one report or response in the means of a service. The mean spans about fifty
/// reports, which arrive within a second at the users' request rates.
const LOAD_WEIGHT: f64 = 0.02;

/// The members of one service, with their mean load and failure rate.
#[derive(Debug, Default)]
pub(super) struct ServicePool {
    pub(super) keys: Vec<MemberKey>,
    /// Mean requests per slot, running or queued.
    held: MovingMean,
    /// Share of the responses that were failures.
    failed: MovingMean,
}

impl ServicePool {
    /// Records a response of a member.
    pub(super) fn record_answered(&mut self, failed: bool) {
        self.failed
            .observe(f64::from(u8::from(failed)), LOAD_WEIGHT);
    }

    /// Returns the share of all members' responses that were failures.
    pub(super) fn mean_failure_rate(&self) -> f64 {
        self.failed.get().unwrap_or(0.0)
    }

    /// Records a load report of a member with `slots` slots.
    pub(super) fn record_load(&mut self, report: LoadReport, slots: u32) {
        let held = f64::from(report.running + report.waiting) / f64::from(slots.max(1));
        self.held.observe(held, LOAD_WEIGHT);
    }

    /// Returns the mean number of requests per slot, running or queued.
    pub(super) fn mean_requests_per_slot(&self) -> f64 {
        self.held.get().unwrap_or(0.0)
    }
}

/// Mean load of a service, and mean run time of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ServiceAverages {
    /// Mean run time of the route; none if no member has reported one yet.
    pub(super) route_run_time: Option<Duration>,
    /// Mean number of requests per slot of the service, running or queued.
    pub(super) requests_per_slot: f64,
}
