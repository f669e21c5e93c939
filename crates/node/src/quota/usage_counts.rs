//! Counts of an account's requests at one node.

use super::AccountUsage;
use crate::accounts::AccountRule;

/// Factor from a number to thousandths.
const MILLI: f64 = 1_000.0;

/// Requests of an account at one node since the node's start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UsageCounts {
    pub(super) admitted: u64,
    pub(super) returned: u64,
    pub(super) refused: u64,
    pub(super) unknown: u64,
    reported_refused: u64,
    reported_admitted: u64,
}

impl UsageCounts {
    /// Returns how many requests were refused and admitted since the last call.
    pub(super) const fn take_unreported(&mut self) -> (u64, u64) {
        let refused = self.refused - self.reported_refused;
        let admitted = self.admitted - self.reported_admitted;
        self.reported_refused = self.refused;
        self.reported_admitted = self.admitted;
        (refused, admitted)
    }

    /// Returns the counts with the account's name and quota, for the status page.
    pub(super) fn usage(&self, rule: &AccountRule) -> AccountUsage {
        let milli = |value: f64| (value * MILLI) as u64;
        AccountUsage {
            account: rule.name.to_string(),
            rate_milli_per_s: rule.quota.map_or(0, |quota| milli(quota.rate_per_s)),
            burst_milli: rule.quota.map_or(0, |quota| milli(quota.burst)),
            admitted: self.admitted,
            returned: self.returned,
            refused: self.refused,
            unknown: self.unknown,
        }
    }
}
