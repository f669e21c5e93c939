//! Load that callers generate on a schedule (open loop).

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use geranium_standins::CallerRequest;
use http::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{sleep, sleep_until},
};

use super::{CallKind, CallRecord, CallSender};

/// Deadline of requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which the caller of an abandoned request disconnects.
const ABANDON_AFTER: Duration = Duration::from_millis(120);
/// Run time of an abandoned request, in milliseconds.
const ABANDONED_WORK_MS: u64 = 3_000;
/// Size of the response to a file request.
const FILE_BYTES: u64 = 60_000;
/// Interval between requests that crash backend servers.
const CRASH_INTERVAL: Duration = Duration::from_secs(4);
/// Number of times that each crashing request is sent.
const CRASH_SENDS: usize = 12;
/// Pause between two sends of a crashing request.
const CRASH_PAUSE: Duration = Duration::from_millis(5);
/// Time after the last request until every request is recorded.
const RECORDS_GRACE: Duration = Duration::from_millis(4_200);

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Callers' listeners of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Requests per second at each node.
    pub rate: f64,
    /// Seed of intervals and kinds.
    pub seed: u64,
    /// Whether one caller sends requests that crash the backend servers running them.
    pub crashing_requests: bool,
}

/// A load that runs until it is ended.
///
/// Requests start on a schedule that doesn't wait for earlier responses. A stalled
/// node therefore can't slow the load down and so hide its own latency.
#[derive(Debug)]
pub struct CallerLoad {
    records: Arc<Mutex<Vec<CallRecord>>>,
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl CallerLoad {
    /// Starts the load.
    pub fn start(plan: &LoadPlan) -> Self {
        let records: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
        let stop = watch::Sender::new(false);
        let numbers = Arc::new(AtomicU64::new(0));
        let nodes = plan.nodes.iter().enumerate();
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        if plan.crashing_requests {
            let caller = CrashCaller {
                senders: plan.nodes.iter().copied().map(CallSender::new).collect(),
                records: Arc::clone(&records),
            };
            tasks.push(tokio::spawn(caller.run(stop.subscribe())));
        }
        let stream_tasks = nodes.map(|(node, addr)| {
            let stream = CallStream {
                node,
                sender: CallSender::new(*addr),
                records: Arc::clone(&records),
                numbers: Arc::clone(&numbers),
                rng: StdRng::seed_from_u64(plan.seed.wrapping_add(node as u64)),
                rate: plan.rate,
            };
            tokio::spawn(stream.run(stop.subscribe()))
        });
        tasks.extend(stream_tasks);
        Self {
            records,
            stop,
            tasks,
        }
    }

    /// Ends the load and returns the records of all requests.
    ///
    /// # Panics
    ///
    /// Panics if a caller's task panicked, which is a bug.
    pub async fn end(self) -> Vec<CallRecord> {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.expect("no caller panics");
        }
        sleep(RECORDS_GRACE).await;
        std::mem::take(&mut *self.records.lock().expect("not poisoned"))
    }
}

/// Load on one node.
struct CallStream {
    node: usize,
    sender: CallSender,
    records: Arc<Mutex<Vec<CallRecord>>>,
    numbers: Arc<AtomicU64>,
    rng: StdRng,
    rate: f64,
}

impl CallStream {
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut next = tokio::time::Instant::now();
        loop {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-uniform.ln() / self.rate);
            tokio::select! {
                () = sleep_until(next) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            self.send_next();
        }
    }

    fn send_next(&mut self) {
        let kind = match self.rng.random_range(0..100) {
            0..58 => CallKind::Lookup,
            58..85 => CallKind::Order,
            85..97 => CallKind::File,
            _ => CallKind::Abandoned,
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let call = new_call(kind, number);
        let reuse = self.rng.random_bool(0.6);
        let leave_after = (kind == CallKind::Abandoned).then_some(ABANDON_AFTER);
        let (node, sender) = (self.node, self.sender.clone());
        let records = Arc::clone(&self.records);
        tokio::spawn(async move {
            let sent = sender.send(&call, reuse, leave_after).await;
            let record = CallRecord {
                id: call.id,
                node,
                kind,
                path: call.path,
                kept: sent.kept,
                sent: sent.sent,
                ended: Instant::now(),
                outcome: sent.outcome,
            };
            records.lock().expect("not poisoned").push(record);
        });
    }
}

/// A caller that repeats requests which crash backend servers, through one node
/// after the other.
struct CrashCaller {
    senders: Vec<CallSender>,
    records: Arc<Mutex<Vec<CallRecord>>>,
}

impl CrashCaller {
    async fn run(self, mut stop: watch::Receiver<bool>) {
        for request in 0_u64.. {
            tokio::select! {
                () = sleep(CRASH_INTERVAL) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            for attempt in 0..CRASH_SENDS {
                let node = attempt % self.senders.len();
                self.send(request, attempt, node).await;
                sleep(CRASH_PAUSE).await;
            }
        }
    }

    async fn send(&self, request: u64, attempt: usize, node: usize) {
        let call = CallerRequest {
            id: format!("crash-{request}-{attempt}"),
            path: format!("/p/crash-{request}"),
            ..new_call(CallKind::Crash, request)
        };
        let sent = self.senders[node].send(&call, false, None).await;
        let record = CallRecord {
            id: call.id,
            node,
            kind: CallKind::Crash,
            path: call.path,
            kept: sent.kept,
            sent: sent.sent,
            ended: Instant::now(),
            outcome: sent.outcome,
        };
        self.records.lock().expect("not poisoned").push(record);
    }
}

fn new_call(kind: CallKind, number: u64) -> CallerRequest {
    let (method, path) = match kind {
        CallKind::Lookup => (Method::GET, format!("/p/{number}")),
        CallKind::Order => (Method::POST, format!("/o/{number}")),
        CallKind::File => (Method::GET, format!("/f/{number}?bytes={FILE_BYTES}")),
        CallKind::Abandoned => (Method::GET, format!("/p/{number}?work={ABANDONED_WORK_MS}")),
        CallKind::Crash => (Method::GET, format!("/p/crash-{number}")),
    };
    let id = format!("call-{number}");
    CallerRequest {
        body: if kind == CallKind::Order {
            format!("order {number} ")
        } else {
            String::new()
        },
        id,
        method,
        path,
        deadline: DEADLINE,
    }
}
