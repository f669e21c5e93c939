//! State shared by the stand-in's threads.

use std::{
    sync::{Condvar, Mutex, MutexGuard},
    time::Instant,
};

use super::{
    CallCounts, CallKind, CountsReport, FaultPlan, FaultRequest, rate_ceiling::RateCeiling,
    store_state::StoreState,
};

/// What the lock guards.
#[derive(Debug, Default)]
pub struct Guarded {
    pub store: StoreState,
    pub plan: FaultPlan,
    pub counts: CallCounts,
    pub reads: RateCeiling,
    pub writes: RateCeiling,
    /// Rises whenever all waiting watches are to be cut.
    pub cuts: u64,
    pub stopped: bool,
}

impl Guarded {
    /// Takes one lost answer from the plan, if any are left.
    pub fn take_lost_answer(&mut self) -> bool {
        let left = self.plan.lose_write_answers;
        self.plan.lose_write_answers = left.saturating_sub(1);
        left > 0
    }
}

/// State with a lock, and a signal for the watches.
#[derive(Debug)]
pub struct SharedState {
    guarded: Mutex<Guarded>,
    pub changed: Condvar,
    started: Instant,
}

impl SharedState {
    pub fn new(plan: FaultPlan) -> Self {
        Self {
            guarded: Mutex::new(Guarded {
                plan,
                ..Guarded::default()
            }),
            changed: Condvar::new(),
            started: Instant::now(),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Guarded> {
        self.guarded
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn second(&self) -> u64 {
        self.started.elapsed().as_secs()
    }

    /// Counts a call and says whether its rate ceiling admits it.
    pub fn admit(&self, kind: CallKind) -> bool {
        let second = self.second();
        let mut guarded = self.lock();
        let plan = guarded.plan;
        let admitted = match kind {
            CallKind::Write => guarded.writes.admit(second, plan.writes_per_second),
            CallKind::Read | CallKind::Watch => guarded.reads.admit(second, plan.reads_per_second),
        };
        guarded.counts.count(second, kind, !admitted);
        admitted
    }

    pub fn set_faults(&self, request: &FaultRequest) {
        let mut guarded = self.lock();
        guarded.plan = request.plan;
        if request.cut_watches || request.plan.down.is_some() {
            guarded.cuts += 1;
        }
        if let Some(lease) = request.lapse_lease {
            guarded.store.end_lease(Instant::now(), lease);
        }
        drop(guarded);
        self.changed.notify_all();
    }

    pub fn report(&self) -> CountsReport {
        let second = self.second();
        self.lock().counts.report(second)
    }

    pub fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
