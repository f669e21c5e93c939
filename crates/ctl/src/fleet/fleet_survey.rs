//! Concurrent reads of the status of every node of the fleet.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, thread};

use geranium_node::admin::NodeStatus;
use serde::Serialize;

use super::AdminClient;

/// Largest number of nodes whose status is read at the same time.
///
/// An unreachable node takes 1.5 s, so a failed rack of 40 nodes takes two rounds.
const CONCURRENT_READS_MAX: usize = 32;

/// Results of reading the status of every node.
#[derive(Debug, Default)]
pub struct FleetSurvey {
    /// Status of each node that responded, sorted by instance.
    pub statuses: Vec<NodeStatus>,
    /// Nodes whose status couldn't be read.
    pub silent: Vec<SilentNode>,
}

/// Node whose status couldn't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// Admin address of the node.
    pub addr: SocketAddr,
    /// Description of the error that the request for the status ended with.
    pub reason: String,
}

/// Reads the status of the nodes with the admin addresses `addrs`.
///
/// # Panics
///
/// Panics if a worker thread panicked, which is a bug.
pub fn survey(addrs: impl IntoIterator<Item = SocketAddr>) -> FleetSurvey {
    let addrs: Vec<SocketAddr> = addrs.into_iter().collect();
    let workers = addrs.len().min(CONCURRENT_READS_MAX);
    let remaining = Mutex::new(addrs.into_iter());
    let results = Mutex::new(BTreeMap::new());
    let next = || remaining.lock().expect("no worker thread panics").next();
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some(addr) = next() {
                    let result = AdminClient::new(addr).status();
                    let mut results = results.lock().expect("no worker thread panics");
                    results.insert(addr, result);
                }
            });
        }
    });
    let mut survey = FleetSurvey::default();
    for (addr, result) in results.into_inner().expect("no worker thread panics") {
        match result {
            Ok(status) => survey.statuses.push(status),
            Err(error) => survey.silent.push(SilentNode {
                addr,
                reason: error.to_string(),
            }),
        }
    }
    survey.statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
    survey
}
