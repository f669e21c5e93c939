//! Changes that operators are told about.

use std::time::Duration;

use super::ProofSource;

/// Change in whether requests with a key run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessChange {
    /// There is no recent proof any more, and requests with a key are refused.
    Lost {
        /// Age of the last proof; none if there was none.
        age: Option<Duration>,
    },
    /// There is a recent proof again.
    Regained {
        /// Age of the proof.
        age: Duration,
        /// Source of the proof.
        source: ProofSource,
    },
}
