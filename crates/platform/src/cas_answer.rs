//! Answers to compare-and-swap.

use crate::{Entry, Revision};

/// What became of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CasAnswer {
    /// The value was written.
    Swapped {
        /// Revision of the write.
        revision: Revision,
    },
    /// The key wasn't at the expected revision; nothing was written.
    Conflict {
        /// The key's newest entry, or `None` when it is absent.
        current: Option<Entry>,
    },
}
