//! Faults that tests switch on while the server runs.

use serde::{Deserialize, Serialize};

/// Body of `POST /.backend/faults`; absent fields are switched off.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Multiplies the time that each request takes.
    pub slow_factor: f64,
    /// Load in thousandths to report in place of the true one.
    pub false_load: Option<u32>,
    /// Health to report in place of the true one.
    pub false_health: Option<bool>,
    /// Refuses every request as not run.
    pub shed_all: bool,
    /// Neither runs nor answers requests until switched off.
    pub frozen: bool,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            false_load: None,
            false_health: None,
            shed_all: false,
            frozen: false,
        }
    }
}
