//! Owners of shards, as a node's state knows them.

use std::{net::SocketAddr, time::Duration};

use slog::{error, info};

use super::{
    ClaimDuty, ClaimRule, LeaseAction, LeaseView, OwnerEntry, OwnerRecord, QuotaLedger, QuotaState,
    SHARD_GRANT_TIME, ShardCandidate, ShardId, ShardLease,
};
use crate::{
    boot_clock::BootClock,
    node_core::NodeCore,
    store::{LeaseId, Revision, StoreEra, StoreItem, StoreList},
};

/// Key in the store with the latest era of which it is known that no owner of an earlier one is
/// left. It has no lease, so that nodes that start after a loss of all owners needn't wait.
pub(super) const SETTLED_KEY: &str = "geranium/quota/era";

impl QuotaState {
    /// Returns the owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<OwnerRecord> {
        self.owners.borrow().owner(shard)
    }

    /// Returns the owner of a shard if it is another node.
    pub(super) fn owner_entry(&self, shard: ShardId) -> Option<OwnerEntry> {
        let owners = self.owners.borrow();
        let owner = owners.owner(shard);
        owner.filter(|owner| owner.process != self.process)?;
        Some(OwnerEntry {
            shard: shard.number(),
            owner,
            revision: owners.revision(shard).0,
        })
    }

    /// Returns the owners that changed after a revision.
    pub fn entries_since(&self, after: Revision) -> Vec<OwnerEntry> {
        self.owners.borrow().entries_since(after)
    }

    /// Records the owner of a shard.
    pub(super) fn record_owner(
        &self,
        shard: ShardId,
        owner: Option<OwnerRecord>,
        revision: Revision,
    ) -> bool {
        let change = self.owners.borrow_mut().apply(shard, owner, revision);
        let Some(change) = change else {
            return false;
        };
        info!(self.log.logger(), "quota owner changed";
            "shard" => shard.number(),
            "before" => change.before.map(|owner| owner.at.to_string()),
            "owner" => change.after.map(|owner| owner.at.to_string()),
            "revision" => revision.0);
        let mut holder = self.holder.borrow_mut();
        if change.is_handover() {
            holder.set_successor(shard);
        } else {
            holder.set_owner(shard, owner.is_some());
        }
        drop(holder);
        self.changed.notify_waiters();
        true
    }

    /// Returns the record with which this process claims a shard in an era.
    pub(super) const fn own_record(
        &self,
        core: &NodeCore,
        era: StoreEra,
        settled: bool,
    ) -> OwnerRecord {
        OwnerRecord {
            at: core.settings.peer_addr,
            process: self.process,
            era,
            settled,
        }
    }

    /// Returns the next step of the ownership of a shard.
    pub(super) fn next_action(&self, core: &NodeCore, shard: ShardId) -> LeaseAction {
        let now = BootClock::now();
        let view = self.lease_view(core, now, shard);
        let mut leases = self.leases.borrow_mut();
        let action = leases[shard.index()].next_action(now, &view);
        let is_owned = leases[shard.index()].is_owned(now);
        drop(leases);
        if !is_owned && self.ledgers.borrow_mut()[shard.index()].take().is_some() {
            info!(self.log.logger(), "quota shard lost"; "shard" => shard.number());
            self.counters.set_owned(shard, false);
        }
        action
    }

    /// Returns what this node knows of a shard.
    pub(super) fn lease_view(&self, core: &NodeCore, now: Duration, shard: ShardId) -> LeaseView {
        let era = core.eras.latest();
        let era_settles_at = self.era_settles_at(core, now, era);
        let duty = self.claim_duty(core, shard);
        let owners = self.owners.borrow();
        LeaseView {
            own: self.own_record(core, era, false),
            owner: owners.owner(shard),
            revision: owners.revision(shard),
            era,
            era_settles_at,
            duty,
        }
    }

    /// Returns until when an owner of an earlier era may grant tokens.
    pub(super) fn era_settles_at(&self, core: &NodeCore, now: Duration, era: StoreEra) -> Duration {
        let (known, seen_at) = self.era.get();
        let settled = self.owners.borrow().settled_era();
        if era == known {
            let is_settled = settled == era || self.settled_key.get().0 == era;
            return if is_settled {
                Duration::ZERO
            } else {
                seen_at + SHARD_GRANT_TIME
            };
        }
        // While the whole fleet starts for the first time, no era came before the first one.
        let is_first = known.is_none() && core.settings.first_start;
        self.era.set((era, now));
        if is_first {
            self.owners.borrow_mut().record_settled(era);
        }
        self.era_settles_at(core, now, era)
    }

    /// Returns whether this node owns a shard.
    pub(super) fn owns(&self, shard: ShardId) -> bool {
        self.leases.borrow()[shard.index()].is_owned(BootClock::now())
    }

    /// Returns whether a claim of a shard may still be written.
    pub(super) fn may_write(&self, core: &NodeCore, shard: ShardId) -> bool {
        let duty = self.claim_duty(core, shard);
        self.leases.borrow()[shard.index()].may_write(duty)
    }

    fn claim_duty(&self, core: &NodeCore, shard: ShardId) -> ClaimDuty {
        let watches_store = core.watches_store();
        // While the fleet starts, a node may not know the nodes that come before it.
        let is_early = core.is_settling() && !watches_store;
        if core.is_stopping() || !self.is_in_force() {
            ClaimDuty::Release
        } else if is_early || !core.knows_local_members() || self.owner(shard).is_some() {
            ClaimDuty::OwnKey
        } else {
            self.vacancy_duty(core, shard, watches_store)
        }
    }

    /// Returns this node's part in claims of a shard without an owner.
    fn vacancy_duty(&self, core: &NodeCore, shard: ShardId, watches_store: bool) -> ClaimDuty {
        let duty = self.with_rule(core, watches_store, |rule| rule.duty(shard));
        match duty {
            // The node that comes first for this shard may not have found its data centre yet.
            duty if core.is_settling() && duty != ClaimDuty::First => ClaimDuty::OwnKey,
            duty => duty,
        }
    }

    /// Returns the node to which this one, which is stopping, hands a shard over.
    pub(super) fn successor(
        &self,
        core: &NodeCore,
        shard: ShardId,
        refusing: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.with_rule(core, false, |rule| rule.successor(shard, refusing))
    }

    fn with_rule<T>(
        &self,
        core: &NodeCore,
        watches_store: bool,
        decide: impl FnOnce(ClaimRule<'_>) -> T,
    ) -> T {
        let fleet = core.fleet.borrow();
        decide(ClaimRule {
            owners: &self.owners.borrow(),
            candidates: &ShardCandidate::of_members(fleet.announced_records()),
            held: self.leases.borrow().each_ref().map(ShardLease::is_held),
            own: core.settings.peer_addr,
            watches_store,
        })
    }

    /// Records that this node owns a shard, by a lease requested at `sent_at`.
    ///
    /// `continues` says that an ownership of an earlier era goes on. Its ledger stays if it hasn't
    /// ended meanwhile; any other is empty unless the owner before has `handed` it over.
    pub(super) fn record_claimed(
        &self,
        core: &NodeCore,
        shard: ShardId,
        claim: &ShardClaim,
        continues: bool,
        handed: Option<QuotaLedger>,
    ) {
        let now = BootClock::now();
        let is_handed = handed.is_some();
        let mut leases = self.leases.borrow_mut();
        let stays = continues && leases[shard.index()].is_owned(now);
        leases[shard.index()].record_claimed(claim.sent_at, claim.lease, claim.revision);
        drop(leases);
        if !stays {
            let mut ledger = handed.unwrap_or_default();
            ledger.set_quotas(now, self.splits(shard));
            self.ledgers.borrow_mut()[shard.index()] = Some(ledger);
        }
        self.counters.set_owned(shard, true);
        info!(self.log.logger(), "quota shard owned";
            "shard" => shard.number(), "continues" => stays, "handed_over" => is_handed,
            "revision" => claim.revision.0);
        let own = self.own_record(core, claim.lease.era, claim.settled);
        if self.record_owner(shard, Some(own), claim.revision) {
            core.update_arrived.notify_waiters();
        }
    }

    /// Ends the ownership of a shard at this node.
    pub(super) fn record_loss(&self, shard: ShardId) {
        self.leases.borrow_mut()[shard.index()].record_loss(BootClock::now());
        self.ledgers.borrow_mut()[shard.index()] = None;
        self.counters.set_owned(shard, false);
        info!(self.log.logger(), "quota shard lost"; "shard" => shard.number());
    }
}

/// Claim that the store confirmed.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShardClaim {
    pub(super) sent_at: Duration,
    pub(super) lease: LeaseId,
    pub(super) revision: Revision,
    /// Whether the record says that no owner of an earlier era is left.
    pub(super) settled: bool,
}

impl NodeCore {
    /// Records a key of the quotas that was read from the store.
    pub(crate) fn record_quota_item(&self, item: &StoreItem) {
        let Some(quota) = &self.quota else {
            return;
        };
        if item.key == SETTLED_KEY {
            if let Ok(era) = serde_json::from_slice::<StoreEra>(&item.value) {
                quota.settled_key.set((era, item.revision));
            }
            return;
        }
        let Some(shard) = ShardId::of_key(&item.key) else {
            return;
        };
        match serde_json::from_slice::<OwnerRecord>(&item.value) {
            Ok(owner) => drop(quota.record_owner(shard, Some(owner), item.revision)),
            Err(cause) => error!(self.log.logger(), "quota owner unreadable";
                "key" => &*item.key, "revision" => item.revision.0, "cause" => %cause),
        }
    }

    /// Records that a key was removed from the store, if it is one of the quotas.
    pub(crate) fn record_quota_removal(&self, key: &str, revision: Revision) {
        if let (Some(quota), Some(shard)) = (&self.quota, ShardId::of_key(key)) {
            quota.record_owner(shard, None, revision);
        }
    }

    /// Records that the shards that a list of all keys doesn't name have no owner.
    pub(crate) fn record_quota_list(&self, list: &StoreList) {
        for shard in ShardId::ALL {
            let key = shard.key();
            if list.items.iter().all(|item| item.key != key) {
                self.record_quota_removal(&key, list.revision);
            }
        }
    }

    /// Records the owners that another node sent.
    pub(crate) fn record_quota_entries(&self, entries: &[OwnerEntry]) {
        let Some(quota) = &self.quota else {
            return;
        };
        for entry in entries {
            if let Ok(shard) = ShardId::try_from(entry.shard) {
                quota.record_owner(shard, entry.owner, Revision(entry.revision));
            }
        }
    }

    /// Returns the owners of shards that changed after a revision; none without quotas.
    pub(crate) fn quota_entries_since(&self, after: Revision) -> Vec<OwnerEntry> {
        let quota = self.quota.as_ref();
        quota.map_or_else(Vec::new, |quota| quota.entries_since(after))
    }
}
