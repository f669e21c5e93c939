//! Status of a request in the poison registry.

use std::time::Duration;

/// Status of a request in the poison registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonStatus {
    /// No crash counts against the request.
    Clear,
    /// The request was running when a backend server crashed.
    ///
    /// It is never retried, and never runs beside another suspect.
    Suspect,
    /// The request is refused as `Poisoned` and doesn't run.
    Refused {
        /// Time after which the request may be sent again.
        retry_after: Duration,
    },
}
