//! What the node needs of the metadata store.
//!
//! [`MetaStore`] is the seam: the adapter implements it over the platform's
//! protocol, tests over a map in memory. Nothing else of the product knows how
//! the store is spoken to.

mod meta_store;
mod read_consistency;
mod store_era;
mod store_error;
mod store_item;
mod store_write;

pub use meta_store::MetaStore;
pub use read_consistency::ReadConsistency;
pub use store_era::{EraTracker, StoreEra};
pub use store_error::StoreError;
pub use store_item::{
    LeaseGrant, LeaseId, Revision, StoreEvent, StoreItem, StoreList, StoreRead, WatchBatch,
};
pub use store_write::{StoreChange, StoreWrite};
