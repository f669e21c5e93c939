//! Revisions, leases and items of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::StoreEra;

/// Low bits of a revision, which hold the store's number; the higher ones hold the era.
const NUMBER_BITS: u32 = 48;
/// Largest number that a revision can hold.
const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

/// Revision of the store or of a key, with the era in which it was assigned.
///
/// Any revision of a later era is greater than any of an earlier one, also as the plain
/// number that nodes exchange. 0 stands for none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

impl Revision {
    /// Creates a revision from the number that the store assigned in an era.
    ///
    /// Number 0 stands for none in every era. Numbers are capped at 48 bits.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::store::{Revision, StoreEra};
    ///
    /// let before = Revision::in_era(StoreEra(1), 900);
    /// let after = Revision::in_era(StoreEra(2), 30);
    /// assert!(after > before);
    /// assert_eq!((after.era(), after.number()), (StoreEra(2), 30));
    /// assert_eq!(Revision::in_era(StoreEra(0), 30), Revision(30));
    /// assert_eq!(Revision::in_era(StoreEra(2), 0), Revision(0));
    /// ```
    pub const fn in_era(era: StoreEra, number: u64) -> Self {
        if number == 0 {
            return Self(0);
        }
        let number = if number < NUMBER_MAX {
            number
        } else {
            NUMBER_MAX
        };
        Self(((era.0 as u64) << NUMBER_BITS) | number)
    }

    /// Returns the era in which the revision was assigned.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u32)
    }

    /// Returns the number that the store assigned to the revision in its era.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MAX
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a lease, with the era in which it was granted or seen.
///
/// In another era, the store may have assigned the same number to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Era in which the lease was granted or seen.
    pub era: StoreEra,
    /// Number that the store assigned to the lease in this era.
    pub number: u64,
}

/// Key and value, with the revision of the last change and the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the key's last change.
    pub revision: Revision,
    /// Lease whose end removes the key; none when the key stays until removed.
    pub lease: Option<LeaseId>,
}

/// Result of reading one key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreRead {
    /// Item of the key; none when it doesn't exist.
    pub item: Option<StoreItem>,
    /// Revision of the store, from which a watch continues without a gap. The
    /// revision of the key may be older than the history that the store keeps.
    pub revision: Revision,
}

/// Result of listing a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreList {
    /// All items under the prefix.
    pub items: Vec<StoreItem>,
    /// Revision from which a watch continues without a gap.
    pub revision: Revision,
}

/// Change of one key, as a watch reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(StoreItem),
    /// A key was removed, or its lease ended.
    Deleted {
        /// Removed key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Changes in the order of their revisions; empty when there were none in time.
    pub events: Vec<StoreEvent>,
    /// Revision from which the next watch continues.
    pub revision: Revision,
}

/// Lease that the store granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    pub lease: LeaseId,
    /// Time after which the lease ends unless renewed.
    pub ttl: Duration,
}
