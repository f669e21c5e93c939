//! State that the server's threads share.

use std::{
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crate::pool_nudge::PoolNudge;

use super::{
    BackendOptions, FaultSettings, JournalError, RequestDirections, RunJournal,
    parked_requests::ParkedRequests, running_set::RunningSet, slot_gate::SlotGate,
};

/// A request right after the start takes this many times as long; the figure
/// falls evenly to one over the cold start.
const COLD_FACTOR: f64 = 4.0;

/// Everything that outlives a single request.
#[derive(Debug)]
pub(super) struct BackendState {
    pub(super) options: BackendOptions,
    pub(super) journal: RunJournal,
    pub(super) running: RunningSet,
    pub(super) gate: SlotGate,
    pub(super) parked: ParkedRequests,
    pub(super) nudge: PoolNudge,
    started: Instant,
    faults: Mutex<FaultSettings>,
    draining: AtomicBool,
}

impl BackendState {
    pub(super) fn open(options: BackendOptions) -> Result<Self, JournalError> {
        Ok(Self {
            journal: RunJournal::open(options.journal_dir.as_deref(), &options.instance)?,
            running: RunningSet::default(),
            gate: SlotGate::new(options.slots.into()),
            parked: ParkedRequests::default(),
            nudge: PoolNudge::new(),
            started: Instant::now(),
            faults: Mutex::default(),
            draining: AtomicBool::new(false),
            options,
        })
    }

    pub(super) fn faults(&self) -> FaultSettings {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(super) fn set_faults(&self, faults: FaultSettings) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the load to report, in thousandths.
    pub(super) fn reported_load(&self) -> u32 {
        self.faults().false_load.unwrap_or_else(|| self.gate.load())
    }

    /// Returns how long a request takes now.
    pub(super) fn work_time(&self, directions: &RequestDirections) -> Duration {
        let own = Duration::from_millis(self.options.service_ms);
        let plain = directions.work.unwrap_or(own);
        plain.mul_f64(self.cold_factor() * self.faults().slow_factor.max(0.0))
    }

    fn cold_factor(&self) -> f64 {
        let whole = Duration::from_millis(self.options.cold_start_ms);
        let left = whole.saturating_sub(self.started.elapsed());
        if left.is_zero() {
            return 1.0;
        }
        1.0 + (COLD_FACTOR - 1.0) * left.as_secs_f64() / whole.as_secs_f64()
    }
}
