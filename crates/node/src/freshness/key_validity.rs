//! For how long requests with a key may run.

use std::time::Duration;

/// For how long requests with a key may run, by what this node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyValidity {
    /// Requests with a key run without a proof of freshness.
    Unlimited,
    /// The proof of freshness is recent enough.
    Valid {
        /// Time for which requests with a key may still begin to run.
        remaining: Duration,
        /// Age of the proof.
        age: Duration,
    },
    /// There is no proof of freshness that is recent enough.
    Expired {
        /// Age of the last proof; none if there was none.
        age: Option<Duration>,
    },
}
