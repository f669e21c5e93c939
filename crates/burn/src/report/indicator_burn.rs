//! Burn of one indicator of a service.

use serde::Serialize;

use super::RuleBurn;
use crate::{BudgetTally, Urgency};

/// Error budget and burn of a service's availability or latency.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct IndicatorBurn {
    /// Share of responses that must meet the objective, above 0 and below 1.
    #[serde(rename = "promised")]
    pub target_share: f64,
    /// Responses over the budget window that violate the objective.
    #[serde(rename = "broken")]
    pub violations: u64,
    /// Responses over the budget window that the objective applies to.
    #[serde(rename = "of")]
    pub total: u64,
    /// Share of the budget that is left; `null` without responses.
    ///
    /// The budget is what the objective allows for the responses counted so far,
    /// not for a whole window's traffic. The share is below 0 when the budget is
    /// overspent.
    pub budget_left: Option<f64>,
    /// Burn by alert rule, the most urgent rule first.
    pub rules: Vec<RuleBurn>,
    /// Highest urgency of the rules.
    pub urgency: Urgency,
}

impl IndicatorBurn {
    /// Combines the tally of an indicator with the burn by its rules.
    ///
    /// `tally` covers the budget window.
    pub fn new(target_share: f64, tally: BudgetTally, rules: Vec<RuleBurn>) -> Self {
        let most_urgent = rules.iter().map(|rule| rule.urgency).max();
        Self {
            target_share,
            violations: tally.violations,
            total: tally.total,
            budget_left: tally.budget_left(),
            rules,
            urgency: most_urgent.unwrap_or(Urgency::NoTraffic),
        }
    }
}
