//! Status of a request in the poison registry.

use std::time::Duration;

/// Whether a request may run, given the crashes that are recorded for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonStatus {
    /// No crash counts against the request.
    Clear,
    /// The request was running when a backend server crashed.
    ///
    /// The inbound proxy runs one suspect at a time, unless successful completions offset
    /// one of its crashes.
    Suspect,
    /// The request is refused as `Poisoned` and doesn't run.
    Refused {
        /// Time after which the request may be sent again.
        retry_after: Duration,
    },
}
