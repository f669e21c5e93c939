//! The seam to the metadata store.

use std::time::Duration;

use super::{
    LeaseGrant, LeaseId, ReadConsistency, Revision, StoreError, StoreList, StoreRead, StoreWrite,
    WatchBatch,
};

/// Key-value store with compare-and-swap, leases and watches.
///
/// Reads are linearizable unless [`ReadConsistency`] says otherwise. Each call ends within a time limit of the
/// implementation's own, so that a silent store shows as
/// [`StoreError::NoAnswer`].
pub trait MetaStore: 'static {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or refuses.
    fn read(
        &self,
        key: &str,
        age: ReadConsistency,
    ) -> impl Future<Output = Result<StoreRead, StoreError>>;

    /// Reads every key under a prefix.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or refuses.
    fn list(
        &self,
        prefix: &str,
        age: ReadConsistency,
    ) -> impl Future<Output = Result<StoreList, StoreError>>;

    /// Waits for changes under a prefix after a revision, `wait` at most.
    ///
    /// # Errors
    ///
    /// [`StoreError::HistoryGone`] when a new list is needed; otherwise when
    /// the store can't be reached or refuses.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>>;

    /// Makes changes together: all of them, or none when one of their keys
    /// isn't at the revision that it names.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`], [`StoreError::NoLease`], or when the store
    /// can't be reached or refuses.
    fn commit(
        &self,
        writes: &[StoreWrite<'_>],
    ) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or refuses.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseGrant, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::NoLease`] when it has ended; otherwise when the store
    /// can't be reached or refuses.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}
