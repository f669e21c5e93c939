//! The store in memory.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex, MutexGuard},
    time::Duration,
};

use super::{
    CallFault,
    memory_state::{MemoryState, PendingWrite},
};
use crate::{
    CasAnswer, Entry, LeaseAnswer, LeaseId, PlatformError, PlatformStore, Revision, WatchAnswer,
};

const ENDPOINT: &str = "memory";
/// Leases here lapse only when a test says so; this is what callers are told.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// [`PlatformStore`] in memory, for tests.
///
/// Calls are counted from 0 and can be made to fail one by one, so that a test
/// can break an operation at each of its steps in turn.
///
/// # Examples
///
/// ```
/// use geranium_platform::{CallFault, MemoryStore, PlatformStore, Revision, WriteEffect};
///
/// let store = MemoryStore::default();
/// store.fail_call(0, CallFault::LoseAnswer);
/// let lost = store.compare_and_swap("a", Revision::NONE, b"1", None).unwrap_err();
/// assert_eq!(lost.effect(), WriteEffect::Unknown);
/// assert_eq!(store.get("a")?.unwrap().value, b"1");
/// # Ok::<(), geranium_platform::PlatformError>(())
/// ```
#[derive(Debug, Default)]
pub struct MemoryStore {
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    state: MemoryState,
    /// What reads are served from instead, while they are stale.
    stale: Option<MemoryState>,
    calls: u64,
    faults: BTreeMap<u64, CallFault>,
    down_from: Option<u64>,
    /// Each write with the call after which it lands.
    late: Vec<(u64, PendingWrite)>,
    cuts: u64,
}

impl MemoryStore {
    /// Makes the call number `nth` from now (0 is the next) fail.
    pub fn fail_call(&self, nth: u64, fault: CallFault) {
        let mut inner = self.lock();
        let call = inner.calls + nth;
        inner.faults.insert(call, fault);
    }

    /// Refuses every call from number `nth` from now on.
    pub fn go_down_after(&self, nth: u64) {
        let mut inner = self.lock();
        inner.down_from = Some(inner.calls + nth);
    }

    /// Answers calls again.
    pub fn come_up(&self) {
        self.lock().down_from = None;
    }

    /// Serves reads from now on as they would be answered now.
    pub fn freeze_reads(&self) {
        let mut inner = self.lock();
        inner.stale = Some(inner.state.clone());
    }

    /// Serves reads from the newest state again.
    pub fn thaw_reads(&self) {
        self.lock().stale = None;
    }

    /// Ends every waiting watch with an error.
    pub fn cut_watches(&self) {
        self.lock().cuts += 1;
        self.changed.notify_all();
    }

    /// Lets a lease lapse.
    pub fn lapse_lease(&self, lease: LeaseId) {
        self.lock().state.end(lease);
        self.changed.notify_all();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no call panics while it holds the lock")
    }

    /// Counts a call and returns how it fails, if it does.
    fn begin(&self) -> Result<(MutexGuard<'_, Inner>, Option<CallFault>), PlatformError> {
        let mut inner = self.lock();
        let call = inner.calls;
        inner.calls += 1;
        let is_down = inner.down_from.is_some_and(|from| call >= from);
        let fault = inner.faults.remove(&call);
        let (due, waiting) = std::mem::take(&mut inner.late)
            .into_iter()
            .partition(|(after, _)| *after < call);
        inner.late = waiting;
        for (_, write) in due {
            // Nobody waits for the answer of a late write.
            let _unheard = inner.state.apply(write);
        }
        if is_down || fault == Some(CallFault::Refuse) {
            return Err(refused());
        }
        Ok((inner, fault))
    }

    /// Begins a call that has no effect, so that any fault loses its answer.
    fn begin_read(&self) -> Result<MutexGuard<'_, Inner>, PlatformError> {
        match self.begin()? {
            (inner, None) => Ok(inner),
            (_, Some(_)) => Err(lost()),
        }
    }
}

impl Inner {
    fn readable(&self) -> &MemoryState {
        self.stale.as_ref().unwrap_or(&self.state)
    }
}

impl PlatformStore for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        Ok(self.begin_read()?.readable().entry(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, PlatformError> {
        Ok(self.begin_read()?.readable().entries(prefix))
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<CasAnswer, PlatformError> {
        let (mut inner, fault) = self.begin()?;
        let write = PendingWrite {
            key: key.to_owned(),
            expected,
            value: value.to_vec(),
            lease,
        };
        match fault {
            Some(CallFault::LoseRequest) => return Err(lost()),
            Some(CallFault::LandLate) => {
                let after = inner.calls;
                inner.late.push((after, write));
                return Err(lost());
            }
            _ => {}
        }
        let answer = inner.state.apply(write);
        drop(inner);
        self.changed.notify_all();
        match fault {
            Some(_) => Err(lost()),
            None => answer.map_err(|lease| PlatformError::LeaseLapsed { lease }),
        }
    }

    fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, PlatformError> {
        Ok(self.begin_read()?.state.grant())
    }

    fn keep_lease(&self, lease: LeaseId) -> Result<LeaseAnswer, PlatformError> {
        let alive = self.begin_read()?.state.is_alive(lease);
        Ok(if alive {
            LeaseAnswer::Alive { ttl: LEASE_TTL }
        } else {
            LeaseAnswer::Lapsed
        })
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), PlatformError> {
        self.begin_read()?.state.end(lease);
        self.changed.notify_all();
        Ok(())
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchAnswer, PlatformError> {
        let inner = self.begin_read()?;
        let cuts = inner.cuts;
        let waits =
            |inner: &mut Inner| inner.cuts == cuts && inner.state.event_after(key, after).is_none();
        let (inner, _) = self
            .changed
            .wait_timeout_while(inner, wait, waits)
            .expect("no call panics while it holds the lock");
        if inner.cuts != cuts {
            return Err(lost());
        }
        let event = inner.state.event_after(key, after);
        Ok(event.unwrap_or(WatchAnswer::Unchanged))
    }
}

fn refused() -> PlatformError {
    PlatformError::Unreachable {
        endpoint: ENDPOINT.to_owned(),
        source: "connection refused".into(),
    }
}

fn lost() -> PlatformError {
    PlatformError::AnswerLost {
        endpoint: ENDPOINT.to_owned(),
        source: "connection reset".into(),
    }
}
