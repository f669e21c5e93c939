//! Changes of the store.

use super::{LeaseId, Revision};

/// What becomes of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreChange<'a> {
    /// It holds a value, until its lease ends if it has one.
    Put {
        /// Value.
        value: &'a [u8],
        /// Lease; none to keep the key until it is removed.
        lease: Option<LeaseId>,
    },
    /// It is removed.
    Remove,
}

/// A change of one key, done only while the key is at a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWrite<'a> {
    /// Key.
    pub key: &'a str,
    /// Revision that the key must have; 0 when it must not exist.
    pub expected: Revision,
    /// What becomes of it.
    pub change: StoreChange<'a>,
}

impl<'a> StoreWrite<'a> {
    /// Writes `value`, to be kept until it is removed.
    pub const fn put(key: &'a str, value: &'a [u8], expected: Revision) -> Self {
        Self {
            key,
            expected,
            change: StoreChange::Put { value, lease: None },
        }
    }

    /// Writes `value` under a lease.
    pub const fn leased(key: &'a str, value: &'a [u8], expected: Revision, lease: LeaseId) -> Self {
        let lease = Some(lease);
        Self {
            key,
            expected,
            change: StoreChange::Put { value, lease },
        }
    }

    /// Returns the lease with which the key is to end.
    pub const fn lease(&self) -> Option<LeaseId> {
        match self.change {
            StoreChange::Put { lease, .. } => lease,
            StoreChange::Remove => None,
        }
    }

    /// Removes the key.
    pub const fn remove(key: &'a str, expected: Revision) -> Self {
        Self {
            key,
            expected,
            change: StoreChange::Remove,
        }
    }
}
