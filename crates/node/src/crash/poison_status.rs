//! What the register says about a request.

use std::time::Duration;

/// Standing of a request with the poison register.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonStatus {
    /// Nothing is held against it.
    Clear,
    /// It was running when a backend server crashed: it is never retried, and runs beside no
    /// other such request.
    Suspect,
    /// It is refused as `Poisoned`, and did not run.
    Refused {
        /// Time after which it may be sent again.
        retry_after: Duration,
    },
}
