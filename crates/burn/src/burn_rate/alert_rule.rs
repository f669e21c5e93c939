//! Alert rules on the burn of an error budget, each over two windows.
//!
//! The burn over a window is the ratio of violations of an objective to the violations that
//! it allows for the responses in that window.
//!
//! A service may lose a large share of its requests at once, or a small share
//! for days. An alert on a single window fails either way: a short window pages
//! for a fault of a few seconds, and a long one goes on paging for an hour after
//! the repair. Each rule therefore requires its threshold in two windows. The
//! slow window shows that the loss is significant; the fast window, a twelfth as
//! long, shows that it continues.
//!
//! The thresholds are the usual ones for a budget window of 30 days. A burn of 1
//! spends exactly the whole budget by the end of the budget window. A threshold
//! is the share of the budget that may be spent before the alert, divided by the
//! slow window's share of the budget window:
//!
//! - 14.4 over 1 h (1/720): 2% of the budget is spent; all of it would be in two
//!   days
//! - 6 over 6 h (1/120): 5% is spent; all of it would be in five days
//! - 1 over 3 d (1/10): 10% is spent; the budget lasts no longer than its window
//!
//! All windows scale with the budget window, so a threshold stands for the same
//! share of the budget at any length.

use std::time::Duration;

use super::Urgency;

/// Alert rule with one threshold for a slow and a fast window.
#[derive(Debug, Clone, Copy)]
pub struct AlertRule {
    /// Lowest burn at which the rule fires, reached in both windows.
    pub threshold: f64,
    /// Divisor of the budget window that yields the slow window.
    pub slow_divisor: u32,
    /// Divisor of the budget window that yields the fast window.
    pub fast_divisor: u32,
    /// Urgency that the rule reports when it fires.
    pub urgency: Urgency,
}

/// Rules that every report evaluates, the one with the shortest windows first.
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
    /// Returns the length of the slow window.
    pub fn slow_window(&self, budget_window: Duration) -> Duration {
        budget_window / self.slow_divisor
    }

    /// Returns the length of the fast window.
    pub fn fast_window(&self, budget_window: Duration) -> Duration {
        budget_window / self.fast_divisor
    }

    /// Returns the rule's urgency if it fires for these burns, and else `Fine`.
    ///
    /// `None` is the burn of a window without responses. The result is `NoTraffic`
    /// when the slow window has no responses.
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
        let fires = slow >= self.threshold && fast.is_some_and(|fast| fast >= self.threshold);
        if fires { self.urgency } else { Urgency::Fine }
    }
}
