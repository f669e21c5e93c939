//! Polling of all nodes while something happens to a fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::NodeStatus;

/// Time between two looks at each node: the resolution of convergence times.
const POLL: Duration = Duration::from_millis(20);

/// What polling has seen so far.
#[derive(Debug, Clone, Default)]
pub struct WatchFindings {
    /// Highest version seen at each node, by admin address.
    pub highest: BTreeMap<SocketAddr, u64>,
    /// First time that each version or a later one was seen at a node.
    pub reached: BTreeMap<(SocketAddr, u64), Instant>,
    /// Sightings of a version lower than one seen before at the same node,
    /// also across its restarts. A node without any version doesn't count.
    pub older_versions: u64,
}

impl WatchFindings {
    /// Takes in that a node showed a version at an instant.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use geranium_rig::WatchFindings;
    ///
    /// let node = ([127, 0, 0, 1], 80).into();
    /// let mut findings = WatchFindings::default();
    /// for version in [1, 3, 0, 2] {
    ///     findings.see(node, version, Instant::now());
    /// }
    /// assert_eq!(findings.older_versions, 1);
    /// assert!(findings.reached.contains_key(&(node, 2)));
    /// ```
    pub fn see(&mut self, node: SocketAddr, version: u64, now: Instant) {
        if version == 0 {
            return;
        }
        let highest = self.highest.entry(node).or_default();
        if version < *highest {
            self.older_versions += 1;
        }
        for passed in *highest + 1..=version {
            self.reached.insert((node, passed), now);
        }
        *highest = version.max(*highest);
    }
}

/// A thread that polls nodes until dropped.
#[derive(Debug)]
pub struct StatusWatch {
    nodes: Vec<SocketAddr>,
    findings: Arc<Mutex<WatchFindings>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl StatusWatch {
    /// Starts to poll the nodes at these admin addresses.
    ///
    /// # Examples
    ///
    /// ```
    /// let watch = geranium_rig::StatusWatch::start(Vec::new());
    /// assert_eq!(watch.findings().older_versions, 0);
    /// ```
    pub fn start(nodes: Vec<SocketAddr>) -> Self {
        let findings: Arc<Mutex<WatchFindings>> = Arc::default();
        let stopping = Arc::new(AtomicBool::new(false));
        let thread = {
            let (nodes, findings) = (nodes.clone(), Arc::clone(&findings));
            let stopping = Arc::clone(&stopping);
            thread::spawn(move || {
                while !stopping.load(Ordering::SeqCst) {
                    poll(&nodes, &findings);
                    thread::sleep(POLL);
                }
            })
        };
        Self {
            nodes,
            findings,
            stopping,
            thread: Some(thread),
        }
    }

    /// Returns what has been seen so far.
    pub fn findings(&self) -> WatchFindings {
        lock(&self.findings).clone()
    }

    /// Waits until the nodes have reached a version, and returns how long
    /// after `since` the last one was seen there.
    ///
    /// Nodes in `except` aren't waited for. Returns `None` if a node hasn't
    /// reached the version within `limit` after `since`.
    pub fn convergence(
        &self,
        version: u64,
        since: Instant,
        limit: Duration,
        except: &[SocketAddr],
    ) -> Option<Duration> {
        while since.elapsed() < limit {
            let findings = self.findings();
            let waited_for = self.nodes.iter().filter(|node| !except.contains(node));
            let reached = waited_for.map(|node| findings.reached.get(&(*node, version)));
            let all: Option<Vec<_>> = reached.collect();
            if let Some(last) = all.and_then(|instants| instants.into_iter().max().copied()) {
                return Some(last.saturating_duration_since(since));
            }
            thread::sleep(POLL);
        }
        None
    }
}

impl Drop for StatusWatch {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

fn poll(nodes: &[SocketAddr], findings: &Mutex<WatchFindings>) {
    for node in nodes {
        if let Some(status) = NodeStatus::read(*node) {
            lock(findings).see(*node, status.version, Instant::now());
        }
    }
}

fn lock(findings: &Mutex<WatchFindings>) -> MutexGuard<'_, WatchFindings> {
    findings.lock().unwrap_or_else(PoisonError::into_inner)
}
