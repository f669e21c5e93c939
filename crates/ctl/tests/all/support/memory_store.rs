//! A store in memory, whose calls can be made to fail.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use geranium_node::store::{
    LeaseGrant, LeaseId, MetaStore, ReadConsistency, Revision, StoreChange, StoreEra, StoreError,
    StoreItem, StoreList, StoreRead, StoreWrite, WatchBatch,
};

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// It is turned away; nothing is done.
    Refuse,
    /// It is done, and its answer lost.
    LoseAnswer,
    /// It is lost on its way.
    LoseRequest,
    /// It gets no answer, and is done two calls later if its condition holds.
    LandLate,
}

/// A store in memory.
#[derive(Debug, Default)]
pub struct MemoryStore(Mutex<MemoryState>);

/// A copy of what a store in memory holds.
#[derive(Debug)]
pub struct MemoryCopy {
    items: BTreeMap<String, (Revision, Vec<u8>)>,
    revision: u64,
}

#[derive(Debug, Default)]
struct MemoryState {
    era: StoreEra,
    items: BTreeMap<String, (Revision, Vec<u8>)>,
    revision: u64,
    calls: u64,
    faults: BTreeMap<u64, CallFault>,
    down_from: Option<u64>,
    late: Vec<(u64, Vec<OwnedWrite>)>,
}

#[derive(Debug, Clone)]
struct OwnedWrite {
    key: String,
    expected: Revision,
    value: Option<Vec<u8>>,
}

impl MemoryStore {
    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Makes the `nth` call from now fail.
    pub fn fail_call(&self, nth: u64, fault: CallFault) {
        let mut state = self.state();
        let call = state.calls + nth;
        state.faults.insert(call, fault);
    }

    /// Is away from the `nth` call from now on.
    pub fn go_down_after(&self, nth: u64) {
        let mut state = self.state();
        state.down_from = Some(state.calls + nth);
    }

    /// Is back.
    pub fn come_up(&self) {
        self.state().down_from = None;
    }

    /// Copies what it holds.
    pub fn copy(&self) -> MemoryCopy {
        let state = self.state();
        MemoryCopy {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Comes back from a copy, in a new era.
    pub fn come_back_from(&self, copy: MemoryCopy) {
        let mut state = self.state();
        state.era = StoreEra(state.era.0 + 1);
        let (era, items) = (state.era, copy.items.into_iter());
        let moved = |revision: Revision| Revision::in_era(era, revision.number());
        state.items = items
            .map(|(key, (revision, value))| (key, (moved(revision), value)))
            .collect();
        state.revision = copy.revision;
    }

    /// Forgets the faults that didn't come to pass.
    pub fn mend(&self) {
        self.state().faults.clear();
    }

    fn state(&self) -> MutexGuard<'_, MemoryState> {
        self.0.lock().unwrap()
    }
}

impl MemoryState {
    /// Counts a call and returns the fault that it meets.
    fn begin(&mut self) -> Result<Option<CallFault>, StoreError> {
        let call = self.calls;
        self.calls += 1;
        let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= call);
        self.late = late;
        let due: Vec<(u64, Vec<OwnedWrite>)> = due;
        for (_, writes) in due {
            let _refused = self.apply(&writes);
        }
        if self.down_from.is_some_and(|from| call >= from) {
            return Err(StoreError::Busy { status: 503 });
        }
        match self.faults.remove(&call) {
            Some(CallFault::Refuse) => Err(StoreError::Busy { status: 503 }),
            fault => Ok(fault),
        }
    }

    fn apply(&mut self, writes: &[OwnedWrite]) -> Result<Revision, StoreError> {
        for write in writes {
            let found = self.items.get(&write.key);
            let current = found.map_or(Revision(0), |(revision, _)| *revision);
            if current != write.expected {
                let key = write.key.clone();
                return Err(StoreError::Conflict { key, current });
            }
        }
        self.revision += 1;
        let revision = Revision::in_era(self.era, self.revision);
        for write in writes {
            match &write.value {
                Some(value) => {
                    let item = (revision, value.clone());
                    self.items.insert(write.key.clone(), item);
                }
                None => drop(self.items.remove(&write.key)),
            }
        }
        Ok(revision)
    }

    fn item(&self, key: &str) -> Option<StoreItem> {
        let (revision, value) = self.items.get(key)?;
        Some(StoreItem {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
            lease: None,
        })
    }
}

fn lost() -> StoreError {
    StoreError::NoAnswer {
        reason: "lost".to_owned(),
    }
}

impl MetaStore for MemoryStore {
    async fn read(&self, key: &str, _age: ReadConsistency) -> Result<StoreRead, StoreError> {
        let mut state = self.state();
        if state.begin()?.is_some() {
            return Err(lost());
        }
        Ok(StoreRead {
            item: state.item(key),
            revision: Revision::in_era(state.era, state.revision),
        })
    }

    async fn list(&self, prefix: &str, _age: ReadConsistency) -> Result<StoreList, StoreError> {
        let mut state = self.state();
        if state.begin()?.is_some() {
            return Err(lost());
        }
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        Ok(StoreList {
            items: keys.filter_map(|key| state.item(key)).collect(),
            revision: Revision::in_era(state.era, state.revision),
        })
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: Revision,
        _wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        Err(StoreError::HistoryGone)
    }

    async fn commit(&self, writes: &[StoreWrite<'_>]) -> Result<Revision, StoreError> {
        let writes = writes.iter().map(|write| OwnedWrite {
            key: write.key.to_owned(),
            expected: write.expected,
            value: match write.change {
                StoreChange::Put { value, .. } => Some(value.to_vec()),
                StoreChange::Remove => None,
            },
        });
        let writes: Vec<OwnedWrite> = writes.collect();
        let mut state = self.state();
        match state.begin()? {
            None | Some(CallFault::Refuse) => state.apply(&writes),
            Some(CallFault::LoseAnswer) => {
                let _answer = state.apply(&writes);
                Err(lost())
            }
            Some(CallFault::LoseRequest) => Err(lost()),
            Some(CallFault::LandLate) => {
                let at = state.calls + 1;
                state.late.push((at, writes));
                Err(lost())
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        Ok(LeaseGrant {
            lease: LeaseId {
                era: StoreEra(0),
                number: 1,
            },
            ttl,
        })
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}
