//! Burn of a service in one data centre or for one request kind.

use serde::Serialize;

use crate::BurnTally;

/// Burn of one data centre or request kind over the budget window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BreakdownRow {
    /// Name of the data centre or request kind.
    pub name: String,
    /// Responses that aren't caller faults.
    #[serde(rename = "answers")]
    pub responses: u64,
    /// Burn of the availability budget; `null` without responses.
    pub availability_burn: Option<f64>,
    /// Burn of the latency budget; `null` without good responses.
    pub latency_burn: Option<f64>,
}

impl BreakdownRow {
    /// Creates the row of a data centre or request kind from its tally.
    pub fn new(name: impl Into<String>, tally: &BurnTally) -> Self {
        Self {
            name: name.into(),
            responses: tally.availability.total,
            availability_burn: tally.availability.burn(),
            latency_burn: tally.latency.burn(),
        }
    }

    /// Returns the higher of the two burns, or 0 without responses.
    pub fn worst_burn(&self) -> f64 {
        let burns = [self.availability_burn, self.latency_burn];
        burns.into_iter().flatten().fold(0.0, f64::max)
    }
}
