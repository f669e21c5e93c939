//! Eras of the store.

use std::cell::Cell;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Number of times that the store has come back from an older copy of its data.
///
/// What was written between the copy and the return is gone, and revisions and lease
/// numbers are given out again: those of different eras can't be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreEra(pub u32);

impl StoreEra {
    /// Whether the store didn't tell its era.
    pub const fn is_none(&self) -> bool {
        self.0 == 0
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The latest era that this process has heard of.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: Cell<StoreEra>,
    risen: Notify,
}

impl EraTracker {
    /// Returns the latest era.
    pub fn latest(&self) -> StoreEra {
        self.latest.get()
    }

    /// Takes in an era, from the store or another node. One that is over changes nothing:
    /// answers may cross on the wire.
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
            self.risen.notify_waiters();
        }
    }

    /// Waits until an era after `known` has begun, and returns it.
    pub async fn after(&self, known: StoreEra) -> StoreEra {
        loop {
            let risen = self.risen.notified();
            if self.latest.get() > known {
                return self.latest.get();
            }
            risen.await;
        }
    }
}
