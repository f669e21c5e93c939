//! Rollouts that a node knows.

use std::{collections::HashMap, net::SocketAddr};

use super::{RolloutPhase, RolloutRecord};
use crate::{member::EndpointVersion, store::Revision};

/// A rollout record with its revision in the store.
#[derive(Debug, Clone)]
struct KnownRollout {
    record: RolloutRecord,
    /// Revision of the key in the store; 0 if it isn't there.
    revision: Revision,
    /// Whether the store holds another state than this one, or none.
    unsaved: bool,
}

/// The latest rollout of each service, as far as this node knows.
#[derive(Debug, Default)]
pub struct RolloutRegistry {
    rollouts: HashMap<String, KnownRollout>,
}

impl RolloutRegistry {
    /// Applies a record and returns whether it changed the state of the rollout.
    ///
    /// Records arrive from several sources and in any order. The later revision counts, but an
    /// order's rollout that has ended stays so: a store that was restored from an older copy
    /// holds the record of an earlier phase under a later revision. Revision 0 stands for a
    /// record that the store doesn't hold yet.
    pub fn apply(&mut self, record: RolloutRecord, revision: Revision) -> bool {
        let Some(known) = self.rollouts.get_mut(&record.service) else {
            let service = record.service.clone();
            let known = KnownRollout {
                record,
                revision,
                unsaved: revision == Revision(0),
            };
            self.rollouts.insert(service, known);
            return true;
        };
        let same_rollout = known.record.target == record.target
            && (known.record.order == record.order
                || Revision(known.record.order).era() != Revision(record.order).era());
        let ended = known.record.phase.is_terminal();
        if revision == Revision(0) {
            let ends = same_rollout && !ended && record.phase.is_terminal();
            if ends {
                known.record = record;
                known.unsaved = true;
            }
            return ends;
        }
        if revision <= known.revision {
            return false;
        }
        known.revision = revision;
        known.unsaved = same_rollout && ended && !record.phase.is_terminal();
        if known.unsaved {
            return false;
        }
        let changed = known.record != record;
        known.record = record;
        changed
    }

    /// Records that the store holds no record of a service's rollout.
    pub fn mark_missing(&mut self, service: &str) {
        if let Some(known) = self.rollouts.get_mut(service) {
            known.revision = Revision(0);
            known.unsaved = true;
        }
    }

    /// Yields the rollouts that have ended and whose state is to be written to the store again.
    pub fn unsaved(&self) -> impl Iterator<Item = &RolloutRecord> {
        let unsaved = self.rollouts.values().filter(|known| known.unsaved);
        unsaved
            .map(|known| &known.record)
            .filter(|record| record.phase.is_terminal())
    }

    /// Returns the latest rollout of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutRecord> {
        self.rollouts.get(service).map(|known| &known.record)
    }

    /// Returns the revision of a service's record in the store; 0 if the store holds none.
    pub fn revision(&self, service: &str) -> Revision {
        let known = self.rollouts.get(service);
        known.map_or(Revision(0), |known| known.revision)
    }

    /// Returns the revision under which the store holds this state of a service's rollout; 0 if it
    /// holds another state or none.
    pub fn saved_revision(&self, service: &str) -> Revision {
        let saved = self.rollouts.get(service).filter(|known| !known.unsaved);
        saved.map_or(Revision(0), |known| known.revision)
    }

    /// Yields the rollouts about which the node at `peer_addr` decides.
    pub fn decided_by(&self, peer_addr: SocketAddr) -> impl Iterator<Item = &RolloutRecord> {
        self.records()
            .filter(move |record| record.decided_by == peer_addr && !record.phase.is_terminal())
    }

    /// Yields the latest rollout of each service.
    pub fn records(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.rollouts.values().map(|known| &known.record)
    }

    /// Returns the records after a revision, each with its own revision, for another node.
    pub fn records_since(&self, since: Revision) -> Vec<(u64, RolloutRecord)> {
        let newer = self
            .rollouts
            .values()
            .filter(|known| known.revision > since && !known.unsaved);
        newer
            .map(|known| (known.revision.0, known.record.clone()))
            .collect()
    }

    /// Whether a rollout keeps new requests away from a backend server of `service`.
    ///
    /// `version` is that of the backend server, none if it reported none, and `was_suspended` says
    /// whether this start of it is kept from requests already. A completed rollout suspends no
    /// others: what is started after it may run a later version that came without an order.
    pub fn suspends(
        &self,
        service: &str,
        version: Option<&EndpointVersion>,
        was_suspended: bool,
    ) -> bool {
        let Some(record) = self.get(service) else {
            return false;
        };
        let is_target = version == Some(&record.target);
        match record.phase {
            RolloutPhase::RolledBack => is_target,
            RolloutPhase::Drain => !is_target,
            RolloutPhase::Completed => was_suspended && !is_target,
            RolloutPhase::Ordered | RolloutPhase::Canary | RolloutPhase::Ramp => false,
        }
    }
}
