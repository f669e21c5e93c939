//! Eras of the store, which count restores from older copies of its data.

use std::cell::Cell;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Number of times that the store was restored from an older copy of its data.
///
/// Writes after the copy are lost, and the store assigns their revisions and lease numbers
/// again, so those of different eras can't be compared. 0 means that the store didn't
/// report its era.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreEra(pub u32);

impl StoreEra {
    /// Returns whether the store didn't report its era.
    pub const fn is_none(&self) -> bool {
        self.0 == 0
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Latest era of the store that this process knows.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: Cell<StoreEra>,
    advanced: Notify,
}

impl EraTracker {
    /// Returns the latest known era.
    pub fn latest(&self) -> StoreEra {
        self.latest.get()
    }

    /// Records an era reported by the store or another node.
    ///
    /// An earlier era than the latest is ignored, as responses may arrive out of order.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::store::{EraTracker, StoreEra};
    ///
    /// let eras = EraTracker::default();
    /// eras.observe(StoreEra(2));
    /// eras.observe(StoreEra(1));
    /// assert_eq!(eras.latest(), StoreEra(2));
    /// ```
    pub fn observe(&self, era: StoreEra) {
        if era > self.latest.get() {
            self.latest.set(era);
            self.advanced.notify_waiters();
        }
    }

    /// Waits for an era later than `known`, and returns it.
    pub async fn after(&self, known: StoreEra) -> StoreEra {
        loop {
            let advanced = self.advanced.notified();
            if self.latest.get() > known {
                return self.latest.get();
            }
            advanced.await;
        }
    }
}
