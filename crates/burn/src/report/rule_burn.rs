//! One rule applied to one promise.

use std::time::Duration;

use serde::Serialize;

use crate::{AlertRule, ErrorBudget, Urgency};

/// Burn over a rule's two windows.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RuleBurn {
    /// Burn from which the rule holds, in both windows.
    pub threshold: f64,
    /// Slow window in milliseconds.
    pub slow_ms: u64,
    /// Burn over it; `null` without answers.
    pub slow_burn: Option<f64>,
    /// Fast window in milliseconds.
    pub fast_ms: u64,
    /// Burn over it; `null` without answers.
    pub fast_burn: Option<f64>,
    /// What the rule calls for.
    pub urgency: Urgency,
}

impl RuleBurn {
    /// Judges a promise by its tallies over both windows.
    pub fn new(rule: &AlertRule, budget: Duration, slow: ErrorBudget, fast: ErrorBudget) -> Self {
        let (slow_burn, fast_burn) = (slow.burn(), fast.burn());
        Self {
            threshold: rule.threshold,
            slow_ms: rule.slow_window(budget).as_millis() as u64,
            slow_burn,
            fast_ms: rule.fast_window(budget).as_millis() as u64,
            fast_burn,
            urgency: rule.evaluate(slow_burn, fast_burn),
        }
    }
}
