//! Response counts compared with the objectives of a service.

use std::ops::AddAssign;

use crate::{ServiceObjective, TrafficCounts};

/// Violations of one indicator's objective, and how many it allows.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BudgetTally {
    /// Responses that violate the objective.
    pub violations: u64,
    /// Responses that the objective applies to.
    pub total: u64,
    /// Number of violations that the objective allows for `total`: the error budget.
    pub allowed: f64,
}

/// Availability and latency tallies of the responses in some time.
///
/// The allowed violations are added up with the responses, so when an objective
/// changes, each response still counts by the objective of its own time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BurnTally {
    /// Bad responses out of all that aren't caller faults.
    pub availability: BudgetTally,
    /// Slow responses out of all good ones.
    pub latency: BudgetTally,
    /// Responses in neither budget, as the request itself was at fault.
    ///
    /// These are the responses with result `caller-fault`.
    pub caller_faults: u64,
}

impl BudgetTally {
    fn new(violations: u64, total: u64, target_share: f64) -> Self {
        Self {
            violations,
            total,
            allowed: total as f64 * (1.0 - target_share),
        }
    }

    /// Returns the burn, or `None` without responses.
    ///
    /// The burn is the ratio of violations to allowed violations: 1 spends
    /// exactly the budget.
    pub fn burn(&self) -> Option<f64> {
        (self.total > 0).then(|| self.violations as f64 / self.allowed)
    }

    /// Returns the share of the budget that is left, or `None` without responses.
    ///
    /// The share is below 0 when the budget is overspent.
    pub fn budget_left(&self) -> Option<f64> {
        self.burn().map(|burn| 1.0 - burn)
    }
}

impl BurnTally {
    /// Computes both tallies from counts and the service's objective.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::{BurnTally, ServiceObjective, TrafficCounts};
    ///
    /// let objective = ServiceObjective { availability: 0.75, ..Default::default() };
    /// let counts = TrafficCounts { good: 6, bad: 2, ..Default::default() };
    /// let tally = BurnTally::from_counts(&counts, &objective);
    /// assert_eq!(tally.availability.burn(), Some(1.0));
    /// ```
    pub fn from_counts(counts: &TrafficCounts, objective: &ServiceObjective) -> Self {
        let counted_responses = counts.good + counts.bad;
        let slow = counts.slow_responses(objective.latency_ms);
        Self {
            availability: BudgetTally::new(counts.bad, counted_responses, objective.availability),
            latency: BudgetTally::new(slow, counts.good, objective.latency_share),
            caller_faults: counts.caller_faults,
        }
    }
}

impl AddAssign for BudgetTally {
    fn add_assign(&mut self, other: Self) {
        self.violations += other.violations;
        self.total += other.total;
        self.allowed += other.allowed;
    }
}

impl AddAssign for BurnTally {
    fn add_assign(&mut self, other: Self) {
        self.availability += other.availability;
        self.latency += other.latency;
        self.caller_faults += other.caller_faults;
    }
}
