//! Conditional writes to the store.

use super::{LeaseId, Revision};

/// Change of a key by a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange<'a> {
    /// The key is set to a value, until its lease ends if it has one.
    Put {
        /// New value of the key.
        value: &'a [u8],
        /// Lease of the key; none to keep the key until it is removed.
        lease: Option<LeaseId>,
    },
    /// The key is removed.
    Remove,
}

/// Write of one key, applied only if the key is at the expected revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWrite<'a> {
    /// Key to write.
    pub key: &'a str,
    /// Revision that the key must have; 0 when it must not exist.
    pub expected: Revision,
    /// Change to apply.
    pub change: StoreChange<'a>,
}

impl<'a> StoreWrite<'a> {
    /// Creates a write of `value` that stays until the key is removed.
    pub const fn put(key: &'a str, value: &'a [u8], expected: Revision) -> Self {
        Self {
            key,
            expected,
            change: StoreChange::Put { value, lease: None },
        }
    }

    /// Creates a write of `value` that stays until its lease ends.
    pub const fn leased(key: &'a str, value: &'a [u8], expected: Revision, lease: LeaseId) -> Self {
        let lease = Some(lease);
        Self {
            key,
            expected,
            change: StoreChange::Put { value, lease },
        }
    }

    /// Returns the lease of the written value, if it has one.
    pub const fn lease(&self) -> Option<LeaseId> {
        match self.change {
            StoreChange::Put { lease, .. } => lease,
            StoreChange::Remove => None,
        }
    }

    /// Creates a removal of the key.
    pub const fn remove(key: &'a str, expected: Revision) -> Self {
        Self {
            key,
            expected,
            change: StoreChange::Remove,
        }
    }
}
