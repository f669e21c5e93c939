//! Items of the store.

use std::time::Duration;

/// Revision of the store or of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Lease with which it ends.
    pub lease: Option<LeaseId>,
}

/// One key as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreRead {
    /// The key, if it exists.
    pub item: Option<StoreItem>,
    /// Revision of the store, from which a watch goes on without a gap. That
    /// of the key may be older than the history which the store keeps.
    pub revision: Revision,
}

/// All items under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreList {
    /// Items.
    pub items: Vec<StoreItem>,
    /// Revision from which a watch goes on without a gap.
    pub revision: Revision,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoreItem),
    /// A key was removed, or its lease ended.
    Deleted {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// Answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Changes in order.
    pub events: Vec<StoreEvent>,
    /// Revision from which to go on.
    pub revision: Revision,
}

/// Lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identifier.
    pub lease: LeaseId,
    /// Time after which it ends unless renewed.
    pub ttl: Duration,
}
