//! Answers to watches.

use crate::{Entry, Revision};

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchAnswer {
    /// The key was written. Go on watching after `entry.revision`.
    Changed(Entry),
    /// The key was deleted, by its lease for example.
    Deleted {
        /// Revision of the deletion; go on watching after it.
        revision: Revision,
    },
    /// Nothing happened within the wait.
    Unchanged,
}
