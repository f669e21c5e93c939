//! Items of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::StoreEra;

/// Bits of a revision that hold the store's number; the era is in those above.
const NUMBER_BITS: u32 = 48;
/// Greatest number of an era.
const NUMBER_MAX: u64 = (1 << NUMBER_BITS) - 1;

/// Revision of the store or of a key, with the era in which it was given out.
///
/// Any revision of a later era is greater than any of an earlier one, also where nodes tell
/// one another of it as a number. 0 stands for none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(pub u64);

impl Revision {
    /// Makes a revision of the number that the store gave out in an era. Number 0 is none in
    /// every era.
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

    /// Returns the era in which it was given out.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u32)
    }

    /// Returns the number that the store knows it by in its era.
    pub const fn number(self) -> u64 {
        self.0 & NUMBER_MAX
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a lease, with the era in which it was granted or seen: in another era the
/// store may have given its number to another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId {
    /// Era.
    pub era: StoreEra,
    /// Number that the store knows it by in its era.
    pub number: u64,
}

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
