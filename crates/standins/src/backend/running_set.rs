//! Requests that run now, by which a cancellation finds them.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use crossbeam::channel::{Receiver, Sender, bounded};

/// Cancellation of one run, as its worker sees it.
#[derive(Debug, Clone)]
pub(super) struct Cancellation {
    flag: Arc<AtomicBool>,
    wake: Receiver<()>,
}

impl Cancellation {
    pub(super) fn is_cancelled(&self) -> bool {
        self.flag.load(Ordering::SeqCst)
    }

    /// Channel that gets a message when the run is cancelled.
    pub(super) fn wake(&self) -> &Receiver<()> {
        &self.wake
    }
}

#[derive(Debug)]
struct RunningEntry {
    run: u64,
    request_id: String,
    flag: Arc<AtomicBool>,
    wake: Sender<()>,
}

/// All runs under way.
#[derive(Debug, Default)]
pub(super) struct RunningSet {
    entries: Mutex<Vec<RunningEntry>>,
}

impl RunningSet {
    /// Enters a run.
    pub(super) fn insert(&self, run: u64, request_id: &str) -> Cancellation {
        let flag = Arc::new(AtomicBool::new(false));
        let (sender, wake) = bounded(1);
        let entry = RunningEntry {
            run,
            request_id: request_id.to_owned(),
            flag: Arc::clone(&flag),
            wake: sender,
        };
        self.lock().push(entry);
        Cancellation { flag, wake }
    }

    /// Removes a run that ended.
    pub(super) fn remove(&self, run: u64) {
        self.lock().retain(|entry| entry.run != run);
    }

    /// Cancels the runs of a request and reports whether there were any.
    pub(super) fn cancel(&self, request_id: &str) -> bool {
        let entries = self.lock();
        let mut found = false;
        for entry in entries
            .iter()
            .filter(|entry| entry.request_id == request_id)
        {
            entry.flag.store(true, Ordering::SeqCst);
            entry.wake.try_send(()).ok();
            found = true;
        }
        found
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunningEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
