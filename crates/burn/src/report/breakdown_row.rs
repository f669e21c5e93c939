//! A data centre's or kind's part of a service's burn.

use serde::Serialize;

use crate::BurnTally;

/// Burn of one data centre or kind over the budget window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BreakdownRow {
    /// Data centre or kind.
    pub name: String,
    /// Answers that aren't the caller's fault.
    #[serde(rename = "answers")]
    pub responses: u64,
    /// Burn of the availability budget; `null` without answers.
    pub availability_burn: Option<f64>,
    /// Burn of the latency budget; `null` without good answers.
    pub latency_burn: Option<f64>,
}

impl BreakdownRow {
    /// Sums up one name's tally.
    pub fn new(name: impl Into<String>, tally: &BurnTally) -> Self {
        Self {
            name: name.into(),
            responses: tally.availability.total,
            availability_burn: tally.availability.burn(),
            latency_burn: tally.latency.burn(),
        }
    }

    /// Returns the higher of the two burns, 0 without answers.
    pub fn worst_burn(&self) -> f64 {
        let burns = [self.availability_burn, self.latency_burn];
        burns.into_iter().flatten().fold(0.0, f64::max)
    }
}
