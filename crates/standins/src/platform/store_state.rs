//! Keys and leases in memory.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::key_history::{KeyEvent, KeyHistory};

/// A key with one of its events.
pub type KeyedEvent = (Vec<u8>, KeyEvent);

#[derive(Debug, Clone, Copy)]
struct LeaseRecord {
    ttl: Duration,
    ends: Instant,
}

/// Everything the stand-in stores.
#[derive(Debug, Default)]
pub struct StoreState {
    pub revision: i64,
    /// Rises with each change, also of leases that no revision tells of.
    pub changes: u64,
    keys: BTreeMap<Vec<u8>, KeyHistory>,
    leases: BTreeMap<i64, LeaseRecord>,
    leases_made: i64,
}

impl StoreState {
    /// Reads a key, or a range up to before `end`, as of `cutoff` if given.
    pub fn range(&self, key: &[u8], end: &[u8], cutoff: Option<Instant>) -> Vec<KeyedEvent> {
        let wanted = |candidate: &[u8]| {
            if end.is_empty() {
                candidate == key
            } else {
                candidate >= key && candidate < end
            }
        };
        self.keys
            .range(key.to_vec()..)
            .take_while(|(candidate, _)| wanted(candidate))
            .filter_map(|(name, history)| {
                let event = cutoff.map_or_else(|| history.live(), |at| history.live_at(at));
                Some((name.clone(), event?.clone()))
            })
            .collect()
    }

    /// Returns the newest write of a key that exists.
    pub fn live(&self, key: &[u8]) -> Option<&KeyEvent> {
        self.keys.get(key)?.live()
    }

    /// Writes a key; `lease` is 0 for none.
    pub fn put(&mut self, now: Instant, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        self.changes += 1;
        let former = self
            .live(&key)
            .map(|event| (event.create_revision, event.version));
        let (create_revision, version) = former.unwrap_or((self.revision, 0));
        let event = KeyEvent {
            at: now,
            revision: self.revision,
            create_revision,
            version: version + 1,
            value: Some(value),
            lease,
        };
        self.keys.entry(key).or_default().push(event);
    }

    /// Deletes a key if it exists.
    pub fn delete(&mut self, now: Instant, key: &[u8]) -> bool {
        if self.live(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.changes += 1;
        self.push_deletion(now, key);
        true
    }

    fn push_deletion(&mut self, now: Instant, key: &[u8]) {
        let event = KeyEvent {
            at: now,
            revision: self.revision,
            create_revision: 0,
            version: 0,
            value: None,
            lease: 0,
        };
        self.keys.entry(key.to_vec()).or_default().push(event);
    }

    /// Returns a key's events from `revision` on.
    pub fn events_since(&self, key: &[u8], revision: i64) -> Vec<KeyEvent> {
        let history = self.keys.get(key);
        history.map_or_else(Vec::new, |events| events.since(revision).cloned().collect())
    }

    pub fn grant(&mut self, now: Instant, ttl: Duration) -> i64 {
        self.leases_made += 1;
        self.changes += 1;
        let ends = now + ttl;
        self.leases
            .insert(self.leases_made, LeaseRecord { ttl, ends });
        self.leases_made
    }

    pub fn has_lease(&self, lease: i64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Renews a lease and returns its time to live; `None` when it lapsed.
    pub fn keep(&mut self, now: Instant, lease: i64) -> Option<Duration> {
        let record = self.leases.get_mut(&lease)?;
        record.ends = now + record.ttl;
        self.changes += 1;
        Some(record.ttl)
    }

    /// Ends a lease with its keys; false when it isn't known.
    pub fn end_lease(&mut self, now: Instant, lease: i64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        self.changes += 1;
        let attached =
            |history: &KeyHistory| history.live().is_some_and(|event| event.lease == lease);
        let keys = self.keys.iter().filter(|(_, history)| attached(history));
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.push_deletion(now, &key);
        }
        true
    }

    /// Ends every lease whose time is over; true when there was one.
    pub fn end_lapsed(&mut self, now: Instant) -> bool {
        let lapsed = self.leases.iter().filter(|(_, record)| record.ends <= now);
        let lapsed: Vec<_> = lapsed.map(|(lease, _)| *lease).collect();
        for lease in &lapsed {
            self.end_lease(now, *lease);
        }
        !lapsed.is_empty()
    }
}
