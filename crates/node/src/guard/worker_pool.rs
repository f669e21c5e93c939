//! The threads that call the backend server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use geranium_decisions::admission::JobId;

use super::{GuardEvent, ReplySink, backend_call::BackendCall};

/// Most threads: more slots than this on one instance aren't planned for.
const THREADS_MAX: usize = 256;
/// Idle time after which a thread ends, so that a burst's threads don't stay.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A call, and where its answer goes.
#[derive(Debug)]
pub struct WorkOrder {
    /// Identifier at the gate.
    pub id: JobId,
    /// The call.
    pub call: BackendCall,
    /// Where the answer goes.
    pub sink: ReplySink,
}

/// Grows with the requests that run at a time and shrinks when idle.
///
/// Admission lets no more requests through than there are slots, so an order
/// never waits long for a thread.
#[derive(Debug)]
pub struct WorkerPool {
    orders: Sender<WorkOrder>,
    source: Receiver<WorkOrder>,
    results: Sender<GuardEvent>,
    threads: Arc<AtomicUsize>,
    idle: Arc<AtomicUsize>,
}

impl WorkerPool {
    /// Makes a pool that reports into `results`.
    pub fn new(results: Sender<GuardEvent>) -> Self {
        let (orders, source) = bounded(THREADS_MAX);
        let count = || Arc::new(AtomicUsize::new(0));
        Self {
            orders,
            source,
            results,
            threads: count(),
            idle: count(),
        }
    }

    /// Hands an order to a thread.
    ///
    /// Returns it when neither a thread nor a place is left.
    pub fn submit(&self, order: WorkOrder) -> Result<(), Box<WorkOrder>> {
        let waiting = self.orders.len();
        if self.idle.load(Ordering::Acquire) <= waiting {
            self.add_thread();
        }
        self.orders.try_send(order).map_err(|error| match error {
            TrySendError::Full(order) | TrySendError::Disconnected(order) => Box::new(order),
        })
    }

    fn add_thread(&self) {
        if self.threads.load(Ordering::Acquire) >= THREADS_MAX {
            return;
        }
        let (source, results) = (self.source.clone(), self.results.clone());
        let (threads, idle) = (Arc::clone(&self.threads), Arc::clone(&self.idle));
        threads.fetch_add(1, Ordering::AcqRel);
        let spawned = thread::Builder::new()
            .name("worker".to_owned())
            .spawn(move || {
                work(&source, &results, &idle);
                threads.fetch_sub(1, Ordering::AcqRel);
            });
        if spawned.is_err() {
            self.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

fn work(source: &Receiver<WorkOrder>, results: &Sender<GuardEvent>, idle: &AtomicUsize) {
    loop {
        idle.fetch_add(1, Ordering::AcqRel);
        let order = source.recv_timeout(IDLE_TIMEOUT);
        idle.fetch_sub(1, Ordering::AcqRel);
        let Ok(order) = order else { return };
        run(order, results);
    }
}

fn run(order: WorkOrder, results: &Sender<GuardEvent>) {
    let WorkOrder { id, call, sink } = order;
    let has_ticket = call.request.ticket.is_some();
    let started = Instant::now();
    let (end, answer) = call.run(sink);
    let finished = GuardEvent::Finished {
        id,
        end,
        service: started.elapsed(),
    };
    let Some((sink, answer)) = answer else {
        let _ = results.send(finished);
        return;
    };
    if has_ticket {
        // A resend that comes right after the answer must find the record.
        let _ = results.send(finished);
        sink.reply(answer);
    } else {
        sink.reply(answer);
        let _ = results.send(finished);
    }
}
