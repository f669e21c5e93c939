//! Probes which configuration version each node applies.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use geranium_standins::CallerRequest;
use http::Method;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::{Breach, Promise};
use crate::{CallSender, marker_path};

/// Prefix of the identifiers of probe requests.
pub(super) const PROBE_PREFIX: &str = "probe-";
/// Interval between probes of a node.
const PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Time that a probe waits for a response.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// Results of all probes, and the versions they look for.
#[derive(Debug)]
pub(super) struct ProbeRecords {
    /// Newest published version.
    pub(super) newest: AtomicU64,
    /// Time at which each version was published.
    pub(super) published: Mutex<HashMap<u64, Instant>>,
    /// Times from publication until each node was first seen to apply a version.
    pub(super) delays: Mutex<Vec<Duration>>,
    /// Breaches that the probes found.
    pub(super) breaches: Mutex<Vec<Breach>>,
    numbers: AtomicU64,
}

impl ProbeRecords {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            newest: AtomicU64::new(0),
            published: Mutex::default(),
            delays: Mutex::default(),
            breaches: Mutex::default(),
            numbers: AtomicU64::new(0),
        })
    }

    pub(super) fn publish(&self, version: u64) {
        let mut published = self.published.lock().expect("not poisoned");
        published.insert(version, Instant::now());
        self.newest.store(version, Ordering::Relaxed);
    }
}

/// A node to probe.
#[derive(Debug, Clone)]
pub(super) struct ProbedNode {
    pub(super) number: usize,
    pub(super) callers: SocketAddr,
    /// Number of starts of the node's process.
    pub(super) process_starts: Arc<AtomicUsize>,
}

/// Probes a node until `stop`. A version that a process once applied must not be
/// missing there later.
pub(super) fn probe_node(
    node: ProbedNode,
    records: Arc<ProbeRecords>,
    mut stop: watch::Receiver<bool>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let sender = CallSender::new(node.callers);
        let mut applied = AppliedVersion::default();
        loop {
            applied.check(&node, &sender, &records).await;
            tokio::select! {
                () = sleep(PROBE_INTERVAL) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    })
}

/// The newest version that one process was seen to apply.
#[derive(Debug, Default)]
struct AppliedVersion {
    process_start: usize,
    version: u64,
}

impl AppliedVersion {
    async fn check(&mut self, node: &ProbedNode, sender: &CallSender, records: &ProbeRecords) {
        let process_start = node.process_starts.load(Ordering::Acquire);
        if process_start != self.process_start {
            *self = Self {
                process_start,
                version: 0,
            };
        }
        let newest = records.newest.load(Ordering::Relaxed);
        if newest > self.version {
            let applies = probe(sender, records, newest).await;
            if applies == Some(true) && node.process_starts.load(Ordering::Acquire) == process_start
            {
                self.version = newest;
                record_delay(records, newest);
            }
            return;
        }
        let applies = probe(sender, records, self.version).await;
        if applies == Some(false) && node.process_starts.load(Ordering::Acquire) == process_start {
            let what = format!(
                "node {} went back from version {}",
                node.number, self.version
            );
            let breach = Breach::new(Promise::NeverOlder, what);
            records.breaches.lock().expect("not poisoned").push(breach);
            self.version = 0;
        }
    }
}

fn record_delay(records: &ProbeRecords, version: u64) {
    let published = records.published.lock().expect("not poisoned");
    if let Some(at) = published.get(&version) {
        let mut delays = records.delays.lock().expect("not poisoned");
        delays.push(at.elapsed());
    }
}

/// Returns whether a node has the route that a version added; `None` if the
/// response doesn't tell.
pub(super) async fn probe(
    sender: &CallSender,
    records: &ProbeRecords,
    version: u64,
) -> Option<bool> {
    let number = records.numbers.fetch_add(1, Ordering::Relaxed);
    let call = CallerRequest {
        id: format!("{PROBE_PREFIX}{number}"),
        method: Method::GET,
        path: format!("{}{number}", marker_path(version)),
        deadline: PROBE_DEADLINE,
        body: String::new(),
    };
    let sent = sender.send(&call, false, None).await;
    match sent.outcome {
        crate::CallOutcome::Answered { answer, .. } => match answer.status.as_u16() {
            404 => Some(false),
            503 if !answer.signed => None,
            _ => Some(true),
        },
        _ => None,
    }
}
