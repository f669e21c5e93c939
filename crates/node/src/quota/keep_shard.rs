//! Claims and renews the ownership of a shard.

use std::{rc::Rc, time::Duration};

use slog::{error, info, warn};
use tokio::time::{sleep, timeout};

use super::{
    LeaseAction, QuotaState, SHARD_LEASE_TIME, ShardId, ShardLease,
    quota_ownership::{SETTLED_KEY, ShardClaim},
};
use crate::{
    boot_clock::BootClock,
    delegation::DelegatingStore,
    node_core::NodeCore,
    shutdown::CALLER_DRAIN_TIME,
    store::{LeaseId, MetaStore, ReadConsistency, Revision, StoreEra, StoreError, StoreWrite},
};

/// Longest time between checks whether this node has to claim the shard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The same while the shard has no owner. What a node knows of others decides about its part.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the end of a stopping node in which another one takes its shards over: three calls to
/// successors, and the time in which a released shard is claimed.
const HANDOVER_TIME: Duration = Duration::from_millis(3 * 250 + 600);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Claims a shard when that is this node's part, and keeps it.
///
/// The task ends at once where the settings have no quota window, and makes no call while no
/// account has a quota.
pub async fn keep_shard(core: Rc<NodeCore>, store: Rc<impl MetaStore>, shard: ShardId) {
    let Some(quota) = &core.quota else {
        return;
    };
    let keeper = ShardKeeper {
        core: &core,
        quota,
        delegating_store: DelegatingStore::new(Rc::clone(&core), Rc::clone(&store)),
        store: &*store,
        shard,
    };
    loop {
        let changed = quota.changed.notified();
        if !quota.is_in_force() && quota.ledgers.borrow()[shard.index()].is_none() {
            changed.await;
            continue;
        }
        let step = match quota.next_action(&core, shard) {
            LeaseAction::Wait { until } => {
                let wait = until.saturating_sub(BootClock::now());
                let check_interval = match quota.owner(shard) {
                    Some(_) => CHECK_INTERVAL,
                    None => VACANCY_CHECK_INTERVAL,
                };
                let _changed = timeout(wait.min(check_interval), changed).await;
                Ok(())
            }
            LeaseAction::Claim {
                expected,
                continues,
            } => keeper.claim(expected, continues).await,
            LeaseAction::TakeOver { expected } => keeper.take_over(expected).await,
            LeaseAction::Renew { lease } => keeper.renew(lease).await,
            LeaseAction::Release { revision } => keeper.release(revision).await,
        };
        if let Err(failure) = step {
            if keeper.delegating_store.is_direct() && !matches!(failure, StoreError::NoLease) {
                core.record_store_failure("quota", &failure);
            }
            sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Calls to the store about one shard.
struct ShardKeeper<'a, S> {
    core: &'a NodeCore,
    quota: &'a QuotaState,
    delegating_store: DelegatingStore<S>,
    store: &'a S,
    shard: ShardId,
}

impl<S: MetaStore> ShardKeeper<'_, S> {
    async fn claim(&self, expected: Revision, continues: bool) -> Result<(), StoreError> {
        // An owner that goes on doesn't know yet whether other owners of the earlier era do.
        let claimed = self.try_claim(expected, !continues, None).await;
        match claimed {
            Ok(Some(claim)) => {
                self.quota
                    .record_claimed(self.core, self.shard, &claim, continues, None);
                if !continues {
                    self.mark_settled(claim.lease).await;
                }
                Ok(())
            }
            Ok(None) => {
                let now = BootClock::now();
                self.with_lease(|shard_lease| shard_lease.record_claim_failure(now));
                Ok(())
            }
            Err(failure) => {
                let now = BootClock::now();
                self.with_lease(|shard_lease| shard_lease.record_claim_failure(now));
                if self.delegating_store.is_direct() {
                    info!(self.core.log.logger(), "quota shard not claimed";
                        "shard" => self.shard.number(), "cause" => %failure);
                }
                match failure {
                    // Another node was faster, or the key changed unseen.
                    StoreError::Conflict { .. } => {
                        self.read_owner().await?;
                        sleep(FAILURE_PAUSE).await;
                        Ok(())
                    }
                    failure => Err(failure),
                }
            }
        }
    }

    /// Claims the shard in place of a stopping owner that has handed it over.
    ///
    /// In another era, the revision may belong to another record. The record isn't marked as settled: what the owner knew of earlier eras isn't known here.
    async fn take_over(&self, expected: Revision) -> Result<(), StoreError> {
        let claimed = self.try_claim(expected, false, Some(expected.era())).await;
        let handed = self.quota.handed.borrow_mut().take(self.shard, expected);
        let taken = match claimed {
            Ok(Some(claim)) => {
                self.quota
                    .record_claimed(self.core, self.shard, &claim, false, handed);
                Ok(())
            }
            failed => {
                let now = BootClock::now();
                self.with_lease(|shard_lease| shard_lease.record_claim_failure(now));
                info!(self.core.log.logger(), "quota shard not taken over";
                    "shard" => self.shard.number(),
                    "cause" => failed.as_ref().err().map(ToString::to_string));
                match failed {
                    Err(StoreError::Conflict { .. }) => self.read_owner().await,
                    Err(failure) => Err(failure),
                    Ok(_) => Ok(()),
                }
            }
        };
        // Wakes the handler that answers the stopping owner.
        self.quota.changed.notify_waiters();
        taken
    }

    /// Requests a lease and writes the key; writes nothing if the node must give up its shards by
    /// then, or if the store isn't in `era` any more.
    async fn try_claim(
        &self,
        expected: Revision,
        settled: bool,
        era: Option<StoreEra>,
    ) -> Result<Option<ShardClaim>, StoreError> {
        if !self.delegating_store.is_direct() {
            return Err(StoreError::NoAnswer {
                reason: "the store is lost".to_owned(),
            });
        }
        let sent_at = BootClock::now();
        let grant = self.delegating_store.grant_lease(SHARD_LEASE_TIME).await?;
        if grant.ttl < SHARD_LEASE_TIME {
            return Err(StoreError::Unexpected {
                reason: "the lease is too short".to_owned(),
            });
        }
        let lease = grant.lease;
        if era.is_some_and(|era| era != lease.era) || !self.quota.may_write(self.core, self.shard) {
            return Ok(None);
        }
        let own = self.quota.own_record(self.core, lease.era, settled);
        let value = serde_json::to_vec(&own).map_err(|error| StoreError::Unexpected {
            reason: error.to_string(),
        })?;
        let key = self.shard.key();
        let write = StoreWrite::leased(&key, &value, expected, lease);
        let revision = self.delegating_store.commit(write, "claim-quota").await?;
        // In another era, the number of the lease may belong to another node.
        if revision.era() != lease.era {
            return Err(StoreError::NoLease);
        }
        Ok(Some(ShardClaim {
            sent_at,
            lease,
            revision,
            settled,
        }))
    }

    /// Writes down that no owner of an era before that of `lease` is left, if the store doesn't say
    /// so.
    async fn mark_settled(&self, lease: LeaseId) {
        let (settled, mut expected) = self.quota.settled_key.get();
        if settled >= lease.era {
            return;
        }
        let value = lease.era.to_string();
        // The second try has the revision from the conflict of the first.
        for _ in 0..2 {
            let write = StoreWrite::put(SETTLED_KEY, value.as_bytes(), expected);
            match self.delegating_store.commit(write, "quota-era").await {
                Ok(revision) => {
                    self.quota.settled_key.set((lease.era, revision));
                    return;
                }
                Err(StoreError::Conflict { current, .. }) => expected = current,
                Err(cause) => {
                    warn!(self.core.log.logger(), "quota era not written"; "cause" => %cause);
                    return;
                }
            }
        }
    }

    async fn read_owner(&self) -> Result<(), StoreError> {
        self.core.metrics.record_store_call("read-quota");
        let key = self.shard.key();
        let read = self.store.read(&key, ReadConsistency::Linearizable).await?;
        match read.item {
            Some(item) => self.core.record_quota_item(&item),
            None => self.core.record_quota_removal(&key, read.revision),
        }
        Ok(())
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let sent_at = BootClock::now();
        let renewed = self.delegating_store.renew_lease(lease).await;
        let has_new_era = self.core.eras.latest() > lease.era;
        let now = BootClock::now();
        match renewed {
            Ok(()) if !has_new_era => {
                self.with_lease(|shard_lease| shard_lease.record_renewal(sent_at, lease));
                if now >= self.quota.era_settles_at(self.core, now, lease.era) {
                    self.mark_settled(lease).await;
                }
                Ok(())
            }
            // The next step claims the key again. Until its time is over, the ownership goes on.
            Ok(()) | Err(StoreError::NoLease) if has_new_era => Ok(()),
            Err(StoreError::NoLease) => {
                self.quota.record_loss(self.shard);
                Ok(())
            }
            renewed => {
                self.with_lease(|shard_lease| shard_lease.record_renewal_failure(now));
                renewed
            }
        }
    }

    fn with_lease(&self, change: impl FnOnce(&mut ShardLease)) {
        change(&mut self.quota.leases.borrow_mut()[self.shard.index()]);
    }

    /// Hands the shard over, or removes the key after the last grant, so that another node can claim
    /// the shard at once.
    ///
    /// The line about it is written before: the log must say who gave the shard up when another
    /// node has it, also if this process is killed meanwhile.
    async fn release(&self, revision: Revision) -> Result<(), StoreError> {
        if self.quota.owns(self.shard) {
            info!(self.core.log.logger(), "quota shard released"; "shard" => self.shard.number());
            // This node grants tokens meanwhile. It ends after its drain time at the earliest.
            let drain_time = self.core.settings.shutdown_timeout.min(CALLER_DRAIN_TIME);
            let limit = drain_time.saturating_sub(HANDOVER_TIME);
            self.core.log.written(limit).await;
            if self.core.is_stopping()
                && self.quota.hand_over(self.core, self.shard, revision).await
            {
                return Ok(());
            }
            if self.quota.owns(self.shard) {
                self.quota.record_loss(self.shard);
            }
        }
        let key = self.shard.key();
        let removal = StoreWrite::remove(&key, revision);
        match self.delegating_store.commit(removal, "release-quota").await {
            Ok(revision) => {
                self.core.record_quota_removal(&key, revision);
                self.core.update_arrived.notify_waiters();
                Ok(())
            }
            // Another node has claimed the shard, or the lease has ended.
            Err(StoreError::Conflict { .. }) => self.read_owner().await,
            Err(failure) => {
                error!(self.core.log.logger(), "quota key not removed";
                    "shard" => self.shard.number(), "cause" => %failure);
                Err(failure)
            }
        }
    }
}
