//! Failures of the store.

use snafu::Snafu;
use strum::IntoStaticStr;

use super::Revision;

/// Failure of a call to the store.
#[derive(Debug, Snafu, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// The store refused the call for now; nothing was done.
    #[snafu(display("the store is busy ({status})"))]
    Busy {
        /// HTTP status.
        status: u16,
    },
    /// No answer; a write may have been done, or may be done later.
    #[snafu(display("no answer from the store: {reason}"))]
    NoAnswer {
        /// What was met.
        reason: String,
    },
    /// The history asked for is gone: list again.
    #[snafu(display("the store no longer has this history"))]
    HistoryGone,
    /// A key has another revision than expected.
    #[snafu(display("the key {key} is at revision {current}"))]
    Conflict {
        /// Key.
        key: String,
        /// Revision of the key now; 0 when it doesn't exist.
        current: Revision,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The answer isn't of the expected shape.
    #[snafu(display("unexpected answer of the store: {reason}"))]
    Unexpected {
        /// What was met.
        reason: String,
    },
}
