//! Service-level objectives of one service.

use serde::{Deserialize, Serialize};

/// Availability and latency objective of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Share of requests that must get a good response, above 0 and below 1.
    pub availability: f64,
    /// Longest latency of a fast response in milliseconds, above 0.
    pub latency_ms: u32,
    /// Share of good responses that must be fast, above 0 and below 1.
    pub latency_share: f64,
}

impl ServiceObjective {
    /// Returns whether all values are in range.
    ///
    /// A share of 1 would leave no error budget, and a share of 0 would allow
    /// every response to be bad.
    pub fn is_valid(&self) -> bool {
        let is_between_0_and_1 = |share: f64| share > 0.0 && share < 1.0;
        is_between_0_and_1(self.availability)
            && is_between_0_and_1(self.latency_share)
            && self.latency_ms > 0
    }
}

impl Default for ServiceObjective {
    /// Returns the objective of services without one of their own.
    ///
    /// It requires 99.9% good responses and 99% of these within 250 ms, which a
    /// person at a counter doesn't notice.
    fn default() -> Self {
        Self {
            availability: 0.999,
            latency_ms: 250,
            latency_share: 0.99,
        }
    }
}
