//! Owners of all shards, as a node knows them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{OwnerRecord, SHARD_COUNT, ShardId};
use crate::store::{Revision, StoreEra};

/// Owner of a shard, or that it has none, as nodes tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerEntry {
    /// Number of the shard.
    pub shard: u8,
    /// Owner; none if the shard has none.
    pub owner: Option<OwnerRecord>,
    /// Revision of the store's change.
    pub revision: u64,
}

/// Change of a shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerChange {
    /// Owner before.
    pub before: Option<OwnerRecord>,
    /// Owner now.
    pub after: Option<OwnerRecord>,
}

impl OwnerChange {
    /// Returns whether the owner has handed the shard over, so that its buckets go on.
    ///
    /// Only a handover replaces the record of another address; all other claims follow a vacancy. A
    /// node that hasn't seen the vacancy may take one for the other, which costs some turns.
    pub fn is_handover(&self) -> bool {
        let before = self.before.map(|owner| owner.at);
        before.is_some() && self.after.is_some_and(|owner| before != Some(owner.at))
    }
}

/// Owner of a shard with the revision of its last change.
#[derive(Debug, Clone, Copy, Default)]
struct OwnerState {
    owner: Option<OwnerRecord>,
    /// Address of the owner before the present vacancy; none if it isn't known.
    last_owner: Option<SocketAddr>,
    /// Revision of the last change; 0 while nothing is known of the shard.
    revision: Revision,
}

/// Owners of all shards, as a node knows them.
#[derive(Debug, Clone, Default)]
pub struct OwnerTable {
    states: [OwnerState; SHARD_COUNT],
    /// Latest era of which it is known that no owner of an earlier one is left.
    settled_era: StoreEra,
}

impl OwnerTable {
    /// Returns the owner of a shard, if it has one.
    pub const fn owner(&self, shard: ShardId) -> Option<OwnerRecord> {
        self.states[shard.index()].owner
    }

    /// Returns the address of the owner that gave up or lost a shard without an owner.
    pub fn last_owner(&self, shard: ShardId) -> Option<SocketAddr> {
        let state = self.states[shard.index()];
        state.last_owner.filter(|_| state.owner.is_none())
    }

    /// Returns the revision of a shard's last change; 0 while nothing is known of it.
    pub const fn revision(&self, shard: ShardId) -> Revision {
        self.states[shard.index()].revision
    }

    /// Returns the latest era of which it is known that no owner of an earlier one is left.
    pub const fn settled_era(&self) -> StoreEra {
        self.settled_era
    }

    /// Records that no owner of an era before this one is left.
    pub fn record_settled(&mut self, era: StoreEra) {
        self.settled_era = self.settled_era.max(era);
    }

    /// Applies a change in the store.
    ///
    /// Returns the change of the owner; none if the change is old or the owner is the same.
    pub fn apply(
        &mut self,
        shard: ShardId,
        owner: Option<OwnerRecord>,
        revision: Revision,
    ) -> Option<OwnerChange> {
        let state = &mut self.states[shard.index()];
        if revision <= state.revision {
            return None;
        }
        let last_owner = state.owner.map(|owner| owner.at).or(state.last_owner);
        let changed = OwnerState {
            owner,
            last_owner,
            revision,
        };
        let before = std::mem::replace(state, changed);
        if let Some(owner) = owner.filter(|owner| owner.settled) {
            self.record_settled(owner.era);
        }
        (before.owner != owner).then_some(OwnerChange {
            before: before.owner,
            after: owner,
        })
    }

    /// Returns the owners that changed after a revision.
    pub fn entries_since(&self, after: Revision) -> Vec<OwnerEntry> {
        let changed = ShardId::ALL.into_iter().filter_map(|shard| {
            let state = self.states[shard.index()];
            (state.revision > after).then_some(OwnerEntry {
                shard: shard.number(),
                owner: state.owner,
                revision: state.revision.0,
            })
        });
        changed.collect()
    }
}
