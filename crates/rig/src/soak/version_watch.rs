//! Watching that no node's version falls.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde::Deserialize;

use super::Breach;

/// Time between two looks at a node.
const POLL: Duration = Duration::from_millis(50);
/// A node that stands still must not hold up its own poller for long.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The part of a node's status that is judged.
#[derive(Debug, Deserialize)]
struct VersionStatus {
    version: u64,
    started: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct NodeSight {
    started: u64,
    highest: u64,
}

/// What was seen at each node.
#[derive(Debug, Default)]
pub struct VersionSightings {
    nodes: BTreeMap<String, NodeSight>,
    everywhere: u64,
    breaches: Vec<Breach>,
}

impl VersionSightings {
    /// Starts with nodes that have shown no version yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::VersionSightings;
    ///
    /// let mut sightings = VersionSightings::new(["a".to_owned()]);
    /// sightings.see(0, "a", 1, 5);
    /// sightings.see(1, "a", 1, 4);
    /// assert_eq!(sightings.breaches().len(), 1);
    /// ```
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let nodes = names.into_iter().map(|name| (name, NodeSight::default()));
        Self {
            nodes: nodes.collect(),
            ..Self::default()
        }
    }

    /// Returns the highest version that every node had at some moment.
    pub const fn everywhere(&self) -> u64 {
        self.everywhere
    }

    /// Returns what broke.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Takes in that the process `started` of a node has a version in force.
    pub fn see(&mut self, at_ms: u64, name: &str, started: u64, version: u64) {
        self.judge(at_ms, name, started, version, self.everywhere);
    }

    /// The same, where `floor` was in force everywhere before the node was
    /// asked.
    fn judge(&mut self, at_ms: u64, name: &str, started: u64, version: u64, floor: u64) {
        let sight = self.nodes.entry(name.to_owned()).or_default();
        let restarted = sight.started != started;
        let least = if restarted { floor } else { sight.highest };
        if restarted {
            *sight = NodeSight {
                started,
                highest: 0,
            };
        }
        // A node without a version serves nobody.
        if version == 0 && (restarted || sight.highest == 0) {
            return;
        }
        sight.highest = sight.highest.max(version);
        if version < least.max(floor) {
            let what = format!("version {version} after {}", least.max(floor));
            self.breaches.push(Breach {
                at_ms,
                process: format!("{name}.node"),
                what,
            });
        }
        let lowest = self.nodes.values().map(|sight| sight.highest).min();
        self.everywhere = self.everywhere.max(lowest.unwrap_or_default());
    }
}

/// Threads that poll the nodes until dropped.
#[derive(Debug)]
pub(super) struct VersionWatch {
    pub sightings: Arc<Mutex<VersionSightings>>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl VersionWatch {
    /// Starts polling; times count from `started`.
    pub(super) fn start(nodes: Vec<(String, SocketAddr)>, started: Instant) -> Self {
        let names = nodes.iter().map(|(name, _)| name.clone());
        let sightings = Arc::new(Mutex::new(VersionSightings::new(names)));
        let stopping = Arc::new(AtomicBool::new(false));
        let poll = |(name, admin): (String, SocketAddr)| {
            let (sightings, stopping) = (Arc::clone(&sightings), Arc::clone(&stopping));
            thread::spawn(move || {
                while !stopping.load(Ordering::Relaxed) {
                    poll_once(&sightings, &name, admin, started);
                    thread::sleep(POLL);
                }
            })
        };
        let threads = nodes.into_iter().map(poll).collect();
        Self {
            sightings,
            stopping,
            threads,
        }
    }
}

fn poll_once(sightings: &Mutex<VersionSightings>, name: &str, admin: SocketAddr, started: Instant) {
    let lock = || sightings.lock().unwrap_or_else(PoisonError::into_inner);
    let floor = lock().everywhere;
    let sent = attohttpc::get(format!("http://{admin}/status"))
        .timeout(TIMEOUT)
        .send();
    let status = sent.and_then(attohttpc::Response::json::<VersionStatus>);
    if let Ok(status) = status {
        let at_ms = started.elapsed().as_millis() as u64;
        lock().judge(at_ms, name, status.started, status.version, floor);
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().ok();
        }
    }
}
