//! Service-level objectives.

use serde::{Deserialize, Serialize};

/// What a service promises its callers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Share of requests that get a good answer, above 0 and below 1.
    pub availability: f64,
    /// Milliseconds within which an answer counts as fast.
    pub latency_ms: u32,
    /// Share of good answers that are fast, above 0 and below 1.
    pub latency_share: f64,
}

impl ServiceObjective {
    /// Whether both shares leave something to spare, and something to promise.
    pub fn is_valid(&self) -> bool {
        let open = |share: f64| share > 0.0 && share < 1.0;
        open(self.availability) && open(self.latency_share) && self.latency_ms > 0
    }
}

impl Default for ServiceObjective {
    /// Three nines of availability, and 99 of 100 answers within 250 ms: a
    /// person at a counter doesn't notice a quarter of a second.
    fn default() -> Self {
        Self {
            availability: 0.999,
            latency_ms: 250,
            latency_share: 0.99,
        }
    }
}
