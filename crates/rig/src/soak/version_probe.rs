//! Watches which version each node follows.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use geranium_standins::CallerCall;
use http::Method;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::{Breach, Promise};
use crate::{CallSender, marker_path};

/// How the identifiers of requests begin that only probe.
pub(super) const PROBE_PREFIX: &str = "probe-";
/// Time between probes of a node.
const PROBE_TIME: Duration = Duration::from_millis(60);
/// Time for which a probe waits.
const PROBE_DEADLINE: Duration = Duration::from_secs(1);

/// What probes share with whoever publishes versions.
#[derive(Debug)]
pub(super) struct ProbeBoard {
    /// Newest version.
    pub(super) newest: AtomicU64,
    /// When each version was published.
    pub(super) published: Mutex<HashMap<u64, Instant>>,
    /// Times from publication to the first sighting at each node.
    pub(super) delays: Mutex<Vec<Duration>>,
    /// Breaches seen.
    pub(super) breaches: Mutex<Vec<Breach>>,
    numbers: AtomicU64,
}

impl ProbeBoard {
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
        let mut published = self.published.lock().expect("no holder panics");
        published.insert(version, Instant::now());
        self.newest.store(version, Ordering::Relaxed);
    }
}

/// A node to be probed.
#[derive(Debug, Clone)]
pub(super) struct ProbedNode {
    pub(super) number: usize,
    pub(super) callers: SocketAddr,
    /// Counts the starts of its process.
    pub(super) lives: Arc<AtomicUsize>,
}

/// Probes a node until `stop`: a version that a process once followed must not
/// be missing there later.
pub(super) fn probe_node(
    node: ProbedNode,
    board: Arc<ProbeBoard>,
    mut stop: watch::Receiver<bool>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let sender = CallSender::new(node.callers);
        let mut followed = Followed::default();
        loop {
            followed.look(&node, &sender, &board).await;
            tokio::select! {
                () = sleep(PROBE_TIME) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    })
}

/// The newest version that one process was seen to follow.
#[derive(Debug, Default)]
struct Followed {
    life: usize,
    version: u64,
}

impl Followed {
    async fn look(&mut self, node: &ProbedNode, sender: &CallSender, board: &ProbeBoard) {
        let life = node.lives.load(Ordering::Acquire);
        if life != self.life {
            *self = Self { life, version: 0 };
        }
        let newest = board.newest.load(Ordering::Relaxed);
        if newest > self.version {
            let follows = probe(sender, board, newest).await;
            if follows == Some(true) && node.lives.load(Ordering::Acquire) == life {
                self.version = newest;
                note_delay(board, newest);
            }
            return;
        }
        let follows = probe(sender, board, self.version).await;
        if follows == Some(false) && node.lives.load(Ordering::Acquire) == life {
            let what = format!(
                "node {} went back from version {}",
                node.number, self.version
            );
            let breach = Breach::new(Promise::NeverOlder, what);
            board
                .breaches
                .lock()
                .expect("no holder panics")
                .push(breach);
            self.version = 0;
        }
    }
}

fn note_delay(board: &ProbeBoard, version: u64) {
    let published = board.published.lock().expect("no holder panics");
    if let Some(at) = published.get(&version) {
        let mut delays = board.delays.lock().expect("no holder panics");
        delays.push(at.elapsed());
    }
}

/// Says whether a node has the route that a version added; nothing when it
/// can't be told.
pub(super) async fn probe(sender: &CallSender, board: &ProbeBoard, version: u64) -> Option<bool> {
    let number = board.numbers.fetch_add(1, Ordering::Relaxed);
    let call = CallerCall {
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
