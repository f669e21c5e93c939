//! A promise that broke.

use serde::{Deserialize, Serialize};

/// Which promise broke, when and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Breach {
    /// Milliseconds after the start of the load.
    pub at_ms: u64,
    /// The process, request or ticket concerned.
    pub process: String,
    /// What was seen.
    pub what: String,
}
