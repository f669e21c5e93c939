//! Burn of one indicator by one alert rule.

use std::time::Duration;

use serde::Serialize;

use crate::{AlertRule, BudgetTally, Urgency};

/// Burn over the two windows of an alert rule, and the resulting urgency.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RuleBurn {
    /// Lowest burn at which the rule fires, reached in both windows.
    pub threshold: f64,
    /// Length of the slow window in milliseconds.
    pub slow_ms: u64,
    /// Burn over the slow window; `null` without responses.
    pub slow_burn: Option<f64>,
    /// Length of the fast window in milliseconds.
    pub fast_ms: u64,
    /// Burn over the fast window; `null` without responses.
    pub fast_burn: Option<f64>,
    /// Urgency by this rule: its own if it fires, otherwise `fine` or `no-traffic`.
    pub urgency: Urgency,
}

impl RuleBurn {
    /// Evaluates a rule for an indicator.
    ///
    /// `budget_window` is the length of the budget window; `slow` and `fast` are the
    /// tallies over the rule's two windows.
    pub fn new(
        rule: &AlertRule,
        budget_window: Duration,
        slow: BudgetTally,
        fast: BudgetTally,
    ) -> Self {
        let (slow_burn, fast_burn) = (slow.burn(), fast.burn());
        Self {
            threshold: rule.threshold,
            slow_ms: rule.slow_window(budget_window).as_millis() as u64,
            slow_burn,
            fast_ms: rule.fast_window(budget_window).as_millis() as u64,
            fast_burn,
            urgency: rule.evaluate(slow_burn, fast_burn),
        }
    }
}
