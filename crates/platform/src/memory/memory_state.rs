//! What the store in memory holds.

use std::collections::{BTreeMap, BTreeSet};

use crate::{CasAnswer, Entry, LeaseId, Revision, WatchAnswer};

/// The newest event of a key.
#[derive(Debug, Clone)]
struct KeyRecord {
    revision: Revision,
    value: Option<Vec<u8>>,
    lease: Option<LeaseId>,
}

/// A compare-and-swap on its way.
#[derive(Debug, Clone)]
pub struct PendingWrite {
    pub key: String,
    pub expected: Revision,
    pub value: Vec<u8>,
    pub lease: Option<LeaseId>,
}

/// Keys, revision and leases.
#[derive(Debug, Clone, Default)]
pub struct MemoryState {
    revision: u64,
    keys: BTreeMap<String, KeyRecord>,
    leases: BTreeSet<LeaseId>,
    /// Leases ever granted: an identifier is never given twice.
    leases_made: i64,
}

impl MemoryState {
    pub fn entry(&self, key: &str) -> Option<Entry> {
        let record = self.keys.get(key)?;
        Some(Entry {
            key: key.to_owned(),
            value: record.value.clone()?,
            revision: record.revision,
        })
    }

    pub fn entries(&self, prefix: &str) -> Vec<Entry> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.entry(key))
            .collect()
    }

    pub fn event_after(&self, key: &str, after: Revision) -> Option<WatchAnswer> {
        let record = self.keys.get(key)?;
        let revision = record.revision;
        (revision > after).then(|| match self.entry(key) {
            Some(entry) => WatchAnswer::Changed(entry),
            None => WatchAnswer::Deleted { revision },
        })
    }

    /// Applies a write, or returns its lease when that isn't known.
    pub fn apply(&mut self, write: PendingWrite) -> Result<CasAnswer, LeaseId> {
        let current = self.entry(&write.key);
        let found = current
            .as_ref()
            .map_or(Revision::NONE, |entry| entry.revision);
        if found != write.expected {
            return Ok(CasAnswer::Conflict { current });
        }
        if let Some(lease) = write.lease.filter(|lease| !self.leases.contains(lease)) {
            return Err(lease);
        }
        let revision = self.next_revision();
        let record = KeyRecord {
            revision,
            value: Some(write.value),
            lease: write.lease,
        };
        self.keys.insert(write.key, record);
        Ok(CasAnswer::Swapped { revision })
    }

    pub fn grant(&mut self) -> LeaseId {
        self.leases_made += 1;
        let lease = LeaseId::new(self.leases_made);
        self.leases.insert(lease);
        lease
    }

    pub fn is_alive(&self, lease: LeaseId) -> bool {
        self.leases.contains(&lease)
    }

    /// Ends a lease and deletes its keys.
    pub fn end(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let next = Revision::new(self.revision + 1);
        let is_attached =
            |record: &&mut KeyRecord| record.lease == Some(lease) && record.value.is_some();
        for record in self.keys.values_mut().filter(is_attached) {
            record.value = None;
            record.revision = next;
            self.revision = next.get();
        }
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        Revision::new(self.revision)
    }
}
