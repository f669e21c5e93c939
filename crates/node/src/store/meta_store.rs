//! Trait of the metadata store.

use std::time::Duration;

use super::{
    LeaseGrant, LeaseId, ReadConsistency, Revision, StoreError, StoreList, StoreRead, StoreWrite,
    WatchBatch,
};

/// Key-value store with compare-and-swap, leases and watches.
///
/// Each call ends within a time limit that the implementation sets, so that a
/// store that doesn't respond shows as [`StoreError::NoAnswer`].
pub trait MetaStore: 'static {
    /// Reads one key, which may be absent.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be reached or refuses the call.
    fn read(
        &self,
        key: &str,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<StoreRead, StoreError>>;

    /// Reads every key under a prefix.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be reached or refuses the call.
    fn list(
        &self,
        prefix: &str,
        consistency: ReadConsistency,
    ) -> impl Future<Output = Result<StoreList, StoreError>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] when the prefix must be listed again, and
    /// other errors when the store can't be reached or refuses the call.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>>;

    /// Applies all of the writes or none, and returns the revision of the store.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] when a key isn't at its expected revision,
    /// [`StoreError::NoLease`] when a lease has ended, and other errors when the store
    /// can't be reached or refuses the call.
    fn commit(
        &self,
        writes: &[StoreWrite<'_>],
    ) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Requests a new lease that ends after `ttl` unless renewed.
    ///
    /// # Errors
    ///
    /// Returns an error when the store can't be reached or refuses the call.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseGrant, StoreError>>;

    /// Renews a lease for its time to live.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoLease`] when the lease has ended, and other errors when
    /// the store can't be reached or refuses the call.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
