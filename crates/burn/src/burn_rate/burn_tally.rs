//! Answers weighed against what was promised.

use std::ops::AddAssign;

use crate::{ServiceObjective, TrafficCounts};

/// One of the two promises of an objective, weighed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ErrorBudget {
    /// Answers that break the promise.
    pub violations: u64,
    /// Answers that the promise is about.
    pub total: u64,
    /// Answers that might have broken it: the budget.
    pub allowed: f64,
}

/// Answers of some time, with the budgets that belong to them.
///
/// Budgets are added up answer by answer, so that a change of the objective
/// weighs each answer by what was promised at its time.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BurnTally {
    /// Answers that aren't good, of all that aren't the caller's fault.
    pub availability: ErrorBudget,
    /// Good answers that are slow, of all good ones.
    pub latency: ErrorBudget,
    /// Answers that are the caller's own fault and in neither part.
    pub caller_faults: u64,
}

impl ErrorBudget {
    fn new(violations: u64, total: u64, promised_share: f64) -> Self {
        Self {
            violations,
            total,
            allowed: total as f64 * (1.0 - promised_share),
        }
    }

    /// Returns the burn: 1 breaks exactly as many as allowed; `None` without
    /// answers.
    pub fn burn(&self) -> Option<f64> {
        (self.total > 0).then(|| self.violations as f64 / self.allowed)
    }

    /// Returns the share of the budget that is left, below 0 when overspent.
    pub fn budget_left(&self) -> Option<f64> {
        self.burn().map(|burn| 1.0 - burn)
    }
}

impl BurnTally {
    /// Weighs counts by an objective.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::{BurnTally, ServiceObjective, TrafficCounts};
    ///     ///
    /// let objective = ServiceObjective { availability: 0.75, ..Default::default() };
    /// let counts = TrafficCounts { good: 6, bad: 2, ..Default::default() };
    /// let tally = BurnTally::from_counts(&counts, &objective);
    /// assert_eq!(tally.availability.burn(), Some(1.0));
    /// ```
    pub fn from_counts(counts: &TrafficCounts, objective: &ServiceObjective) -> Self {
        let answers = counts.good + counts.bad;
        let slow = counts.slow_responses(objective.latency_ms);
        Self {
            availability: ErrorBudget::new(counts.bad, answers, objective.availability),
            latency: ErrorBudget::new(slow, counts.good, objective.latency_share),
            caller_faults: counts.caller_faults,
        }
    }
}

impl AddAssign for ErrorBudget {
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
