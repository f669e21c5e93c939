//! The trait through which everything else uses the platform.

use std::{fmt::Debug, time::Duration};

use crate::{CasAnswer, Entry, LeaseAnswer, LeaseId, PlatformError, Revision, WatchAnswer};

/// The platform's key-value service.
///
/// Each method is one call towards the platform's rates, a waiting
/// [`watch`](Self::watch) included. Reads may be stale; compare-and-swap judges
/// by the newest entry.
///
/// # Examples
///
/// ```
/// use geranium_platform::{CasAnswer, MemoryStore, PlatformStore, Revision};
///
/// let store = MemoryStore::default();
/// let first = store.compare_and_swap("geranium/a", Revision::NONE, b"1", None)?;
/// assert!(matches!(first, CasAnswer::Swapped { .. }));
/// let second = store.compare_and_swap("geranium/a", Revision::NONE, b"2", None)?;
/// assert!(matches!(second, CasAnswer::Conflict { current: Some(_) }));
/// # Ok::<(), geranium_platform::PlatformError>(())
/// ```
pub trait PlatformStore: Debug + Send + Sync {
    /// Reads a key; the answer may be stale.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError>;

    /// Reads all keys that start with `prefix`, in key order; may be stale.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn list(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError>;

    /// Writes `value` if the key is at `expected`.
    ///
    /// With [`Revision::NONE`] the key must be absent. An entry with a `lease`
    /// is deleted when the lease lapses or is revoked. A write is never sent
    /// twice by the store itself.
    ///
    /// # Errors
    ///
    /// [`PlatformError::effect`] says whether the write may have taken effect.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<CasAnswer, PlatformError>;

    /// Grants a lease; `ttl` is rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, PlatformError>;

    /// Keeps a lease alive for another time to live.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn keep_lease(&self, lease: LeaseId) -> Result<LeaseAnswer, PlatformError>;

    /// Ends a lease and deletes its keys; a lapsed one is no error.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError>;

    /// Waits up to `wait` for the key's first event after `after`.
    ///
    /// Events that already happened answer at once.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`]; a watch that is cut is an error, never
    /// [`WatchAnswer::Unchanged`].
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, PlatformError>;

    /// Reads a key's newest entry, at the cost of a write call.
    ///
    /// [`get`](Self::get) may be stale, which shows as a decision on an entry
    /// that was replaced long ago. A compare-and-swap that can't succeed makes
    /// the platform judge by, and answer with, the newest entry.
    ///
    /// # Errors
    ///
    /// See [`PlatformError`].
    fn get_latest(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        match self.compare_and_swap(key, Revision::UNREACHABLE, b"", None)? {
            CasAnswer::Conflict { current } => Ok(current),
            CasAnswer::Swapped { revision } => Err(PlatformError::BadAnswer {
                endpoint: "any".to_owned(),
                reason: format!("a write that can't succeed did, at revision {revision}"),
            }),
        }
    }
}
