//! Conflicts of single keys in a transaction.

use super::{LeaseId, Revision};

/// Key that isn't at the revision that a write expects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyConflict {
    /// Key of the write.
    pub key: String,
    /// Current revision of the key; 0 when it doesn't exist.
    pub current: Revision,
    /// Current lease of the key; none when it has none, or doesn't exist.
    pub lease: Option<LeaseId>,
}
