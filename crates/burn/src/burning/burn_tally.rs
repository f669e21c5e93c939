//! Answers weighed against what was promised.

use std::ops::AddAssign;

use crate::{ServiceObjective, TrafficCounts};

/// One of the two promises of an objective, weighed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BudgetPart {
    /// Answers that break the promise.
    pub broken: u64,
    /// Answers that the promise is about.
    pub of: u64,
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
    pub availability: BudgetPart,
    /// Good answers that are slow, of all good ones.
    pub latency: BudgetPart,
    /// Answers that are the caller's own fault and in neither part.
    pub caller_faults: u64,
}

impl BudgetPart {
    fn new(broken: u64, of: u64, promised_share: f64) -> Self {
        Self {
            broken,
            of,
            allowed: of as f64 * (1.0 - promised_share),
        }
    }

    /// Returns the burn: 1 breaks exactly as many as allowed; `None` without
    /// answers.
    pub fn burn(&self) -> Option<f64> {
        (self.of > 0).then(|| self.broken as f64 / self.allowed)
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
    /// let tally = BurnTally::weigh(&counts, &objective);
    /// assert_eq!(tally.availability.burn(), Some(1.0));
    /// ```
    pub fn weigh(counts: &TrafficCounts, objective: &ServiceObjective) -> Self {
        let answers = counts.good + counts.bad;
        let slow = counts.slow(objective.latency_ms);
        Self {
            availability: BudgetPart::new(counts.bad, answers, objective.availability),
            latency: BudgetPart::new(slow, counts.good, objective.latency_share),
            caller_faults: counts.caller_faults,
        }
    }
}

impl AddAssign for BudgetPart {
    fn add_assign(&mut self, other: Self) {
        self.broken += other.broken;
        self.of += other.of;
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
