//! Failures of calls to the store.

use snafu::Snafu;
use strum::IntoStaticStr;

use super::{KeyConflict, Revision};

/// Failure of a call to the store.
#[derive(Debug, Snafu, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreError {
    /// The store refused the call for now and did nothing.
    #[snafu(display("the store is busy ({status})"))]
    Busy {
        /// HTTP status.
        status: u16,
    },
    /// No response arrived; a write may have taken effect, or may do so later.
    #[snafu(display("no response from the store: {reason}"))]
    NoAnswer {
        /// Description of the failure.
        reason: String,
    },
    /// The store no longer has the requested history; list the prefix again.
    #[snafu(display("the store no longer has the requested history"))]
    HistoryGone,
    /// A key isn't at the expected revision.
    #[snafu(display("the key {key} is at revision {current}"))]
    Conflict {
        /// Key of the write.
        key: String,
        /// Current revision of the key; 0 when it doesn't exist.
        current: Revision,
        /// All keys of the transaction that aren't at their expected revisions; empty if the
        /// store's response doesn't say.
        conflicts: Vec<KeyConflict>,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    NoLease,
    /// The store returned an unexpected response.
    #[snafu(display("unexpected response from the store: {reason}"))]
    Unexpected {
        /// Description of the failure.
        reason: String,
    },
}
