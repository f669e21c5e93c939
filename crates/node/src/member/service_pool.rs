//! The members of one service.

use std::time::Duration;

use super::{LoadReport, MemberKey, MovingMean};

/// Weight of one report in what is usual at a service: some fifty reports, a
/// second's worth at the users' rates.
const LOAD_WEIGHT: f64 = 0.02;

/// The members of one service, and what is usual among them.
#[derive(Debug, Default)]
pub(super) struct ServicePool {
    pub(super) keys: Vec<MemberKey>,
    /// Requests held for each slot.
    held: MovingMean,
    /// Share of the answers that were failures.
    failed: MovingMean,
}

impl ServicePool {
    /// Notes an answer of a member.
    pub(super) fn answered(&mut self, failed: bool) {
        self.failed
            .observe(f64::from(u8::from(failed)), LOAD_WEIGHT);
    }

    /// Returns the share of all members' answers that were failures.
    pub(super) fn usual_failures(&self) -> f64 {
        self.failed.get().unwrap_or(0.0)
    }

    /// Notes a member's load.
    pub(super) fn record_load(&mut self, report: LoadReport, slots: u32) {
        let held = f64::from(report.running + report.waiting) / f64::from(slots.max(1));
        self.held.observe(held, LOAD_WEIGHT);
    }

    /// Returns the usual number of requests held for each slot.
    pub(super) fn usual_held(&self) -> f64 {
        self.held.get().unwrap_or(0.0)
    }
}

/// What is usual at a service for a class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct UsualRun {
    /// Time of a run; none while no member has told one.
    pub(super) run: Option<Duration>,
    /// Requests held for each slot.
    pub(super) held: f64,
}
