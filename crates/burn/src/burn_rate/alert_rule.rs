//! At which burn somebody must act.
//!
//! Load pattern: a service fails in part, either fast and hard or slowly for
//! days. One window alone either pages for a blip of seconds (a short one) or
//! goes on paging for an hour after the repair (a long one). So each rule asks
//! two windows at once: the slow one shows that the loss matters, the fast one,
//! a twelfth of it, that it still goes on.
//!
//! Grounds: the figures are those usual in the field for a budget of 30 days.
//! A burn of 1 spends exactly the whole budget by the end of the budget window.
//! A threshold is the share of the budget that may be lost unseen, divided by
//! the slow window's share of the budget window:
//!
//! - 14.4 over 1 h (1/720): 2% of the budget is gone; two days would end it
//! - 6 over 6 h (1/120): 5% is gone; five days would end it
//! - 1 over 3 d (1/10): 10% is gone; it won't last much longer than promised
//!
//! With another budget window all windows keep these proportions, so the same
//! thresholds stand for the same losses.

use std::time::Duration;

use super::Urgency;

/// A threshold over a slow and a fast window.
#[derive(Debug, Clone, Copy)]
pub struct AlertRule {
    /// Burn from which the rule holds, in both windows.
    pub threshold: f64,
    /// The budget window divided by this is the slow window.
    pub slow_divisor: u32,
    /// The budget window divided by this is the fast window.
    pub fast_divisor: u32,
    /// What it calls for.
    pub urgency: Urgency,
}

/// The rules, the most urgent first.
pub const ALERT_RULES: [AlertRule; 3] = [
    AlertRule {
        threshold: 14.4,
        slow_divisor: 720,
        fast_divisor: 8_640,
        urgency: Urgency::Page,
    },
    AlertRule {
        threshold: 6.0,
        slow_divisor: 120,
        fast_divisor: 1_440,
        urgency: Urgency::Page,
    },
    AlertRule {
        threshold: 1.0,
        slow_divisor: 10,
        fast_divisor: 120,
        urgency: Urgency::Ticket,
    },
];

impl AlertRule {
    /// Returns the slow window.
    pub fn slow_window(&self, budget_window: Duration) -> Duration {
        budget_window / self.slow_divisor
    }

    /// Returns the fast window.
    pub fn fast_window(&self, budget_window: Duration) -> Duration {
        budget_window / self.fast_divisor
    }

    /// Judges the burn of both windows; `None` is a window without traffic.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::{ALERT_RULES, Urgency};
    ///
    /// let page = ALERT_RULES[0];
    /// assert_eq!(page.evaluate(Some(20.0), Some(15.0)), Urgency::Page);
    /// assert_eq!(page.evaluate(Some(20.0), Some(0.0)), Urgency::Fine);
    /// assert_eq!(page.evaluate(None, None), Urgency::NoTraffic);
    /// ```
    pub fn evaluate(&self, slow: Option<f64>, fast: Option<f64>) -> Urgency {
        let Some(slow) = slow else {
            return Urgency::NoTraffic;
        };
        let holds = slow >= self.threshold && fast.is_some_and(|fast| fast >= self.threshold);
        if holds { self.urgency } else { Urgency::Fine }
    }
}
