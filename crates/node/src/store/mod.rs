//! Interface to the metadata store.
//!
//! The platform adapter implements [`MetaStore`] over the platform's protocol,
//! and tests implement it over a map in memory. No other part of the product
//! depends on the store's protocol.

mod key_conflict;
mod meta_store;
mod read_consistency;
mod store_era;
mod store_error;
mod store_item;
mod store_write;

pub use key_conflict::KeyConflict;
pub use meta_store::MetaStore;
pub use read_consistency::ReadConsistency;
pub use store_era::{EraTracker, StoreEra};
pub use store_error::StoreError;
pub use store_item::{
    LeaseGrant, LeaseId, Revision, StoreEvent, StoreItem, StoreList, StoreRead, WatchBatch,
};
pub use store_write::{StoreChange, StoreWrite};
