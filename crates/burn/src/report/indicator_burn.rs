//! One promise of a service.

use serde::Serialize;

use super::RuleBurn;
use crate::{ErrorBudget, Urgency};

/// Availability or latency of a service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct IndicatorBurn {
    /// Promised share.
    pub promised: f64,
    /// Answers over the budget window that break the promise.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Answers over the budget window that it is about.
    #[serde(rename = "of")]
    pub total: u64,
    /// Share of the budget left for these answers, below 0 when overspent;
    /// `null` without answers.
    pub budget_left: Option<f64>,
    /// Rules, the most urgent first.
    pub rules: Vec<RuleBurn>,
    /// The most urgent that any rule calls for.
    pub urgency: Urgency,
}

impl IndicatorBurn {
    /// Sums up a promise.
    pub fn new(promised: f64, budget: ErrorBudget, rules: Vec<RuleBurn>) -> Self {
        let most = rules.iter().map(|rule| rule.urgency).max();
        Self {
            promised,
            violations: budget.violations,
            total: budget.total,
            budget_left: budget.budget_left(),
            rules,
            urgency: most.unwrap_or(Urgency::NoTraffic),
        }
    }
}
