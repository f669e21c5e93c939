//! Calls to the store that one node makes for another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    discovery::MEMBER_PREFIX,
    store::{LeaseId, MetaStore, Revision, StoreChange, StoreEra, StoreError, StoreWrite},
};

/// Longest lease that a node acquires for another one. Leases of announcements last some
/// seconds.
const LEASE_MAX: Duration = Duration::from_secs(30);

/// Call to the store that a node makes for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DelegatedCall {
    /// Grants a lease.
    Grant {
        /// Time in milliseconds for which the lease lasts without a renewal.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// Number of the lease.
        lease: u64,
        /// Era of the lease.
        #[serde(default)]
        era: StoreEra,
    },
    /// Writes or removes a key.
    Write {
        /// Key to write.
        key: String,
        /// Revision that the key must have; 0 when it must not exist.
        expected: u64,
        /// Value with the number of its lease; none to remove the key.
        value: Option<(String, u64)>,
        /// Era of the value's lease.
        #[serde(default)]
        era: StoreEra,
    },
}

/// Outcome of a delegated call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DelegatedOutcome {
    /// The lease was granted.
    Granted {
        /// Number of the lease.
        lease: u64,
        /// Era of the lease.
        #[serde(default)]
        era: StoreEra,
        /// Time in milliseconds for which the lease lasts without a renewal.
        ttl_ms: u64,
    },
    /// The lease was renewed.
    Renewed,
    /// The key was written or removed.
    Written {
        /// Revision of the change.
        revision: u64,
    },
    /// The key has another revision than expected.
    Conflict {
        /// Revision of the key now; 0 when it doesn't exist.
        current: u64,
    },
    /// The lease has ended.
    NoLease,
    /// The call failed, or wasn't made. A write may have taken effect nevertheless.
    Failed,
}

impl DelegatedCall {
    /// Creates the delegated call for a write.
    ///
    /// Returns none when the value isn't UTF-8 or has no lease.
    pub fn from_write(write: &StoreWrite<'_>) -> Option<Self> {
        let value = match write.change {
            StoreChange::Put { value, lease } => {
                let text = String::from_utf8(value.to_vec()).ok()?;
                Some((text, lease?))
            }
            StoreChange::Remove => None,
        };
        let era = value.as_ref().map_or(StoreEra(0), |(_, lease)| lease.era);
        let value = value.map(|(text, lease)| (text, lease.number));
        Some(Self::Write {
            key: write.key.to_owned(),
            expected: write.expected.0,
            value,
            era,
        })
    }

    /// Returns whether a node makes this call for another one.
    ///
    /// Allowed are leases of up to 30 s, renewals of any lease, and writes and removals of
    /// announcements.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::{delegation::DelegatedCall, store::StoreEra};
    ///
    /// let removal = |key: &str| DelegatedCall::Write {
    ///     key: key.to_owned(),
    ///     expected: 7,
    ///     value: None,
    ///     era: StoreEra(0),
    /// };
    /// assert!(removal("geranium/member/hofdi/10.1.0.4:7600").is_allowed());
    /// assert!(!removal("geranium/presets/night").is_allowed());
    /// ```
    pub fn is_allowed(&self) -> bool {
        match self {
            Self::Grant { ttl_ms } => Duration::from_millis(*ttl_ms) <= LEASE_MAX,
            Self::Renew { .. } => true,
            Self::Write { key, .. } => key.starts_with(MEMBER_PREFIX),
        }
    }

    /// Makes the call to the store.
    ///
    /// # Errors
    ///
    /// Fails when the store can't be reached or refuses the call. A conflict and an ended lease are
    /// outcomes.
    pub async fn run(&self, store: &impl MetaStore) -> Result<DelegatedOutcome, StoreError> {
        let result = match self {
            Self::Grant { ttl_ms } => {
                let grant = store.grant_lease(Duration::from_millis(*ttl_ms)).await;
                grant.map(|grant| DelegatedOutcome::Granted {
                    lease: grant.lease.number,
                    era: grant.lease.era,
                    ttl_ms: grant.ttl.as_millis() as u64,
                })
            }
            Self::Renew { lease, era } => {
                let renewed = store.renew_lease(lease_id(*era, *lease)).await;
                renewed.map(|()| DelegatedOutcome::Renewed)
            }
            Self::Write {
                key,
                expected,
                value,
                era,
            } => {
                let expected = Revision(*expected);
                let write = match value {
                    Some((text, lease)) => {
                        let lease = lease_id(*era, *lease);
                        StoreWrite::leased(key, text.as_bytes(), expected, lease)
                    }
                    None => StoreWrite::remove(key, expected),
                };
                let written = store.commit(&[write]).await;
                written.map(|revision| DelegatedOutcome::Written {
                    revision: revision.0,
                })
            }
        };
        match result {
            Err(StoreError::Conflict { current, .. }) => {
                Ok(DelegatedOutcome::Conflict { current: current.0 })
            }
            Err(StoreError::NoLease) => Ok(DelegatedOutcome::NoLease),
            result => result,
        }
    }
}

const fn lease_id(era: StoreEra, number: u64) -> LeaseId {
    LeaseId { era, number }
}
