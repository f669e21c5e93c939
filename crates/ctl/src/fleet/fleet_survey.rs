//! Asking every node of the fleet.

use std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, thread};

use geranium_node::admin::NodeStatus;
use serde::Serialize;

use super::StatusClient;

/// Nodes asked at the same time: an unreachable one takes 1.5 s, and a failed
/// rack of 40 is through in two rounds.
const CONCURRENT_REQUESTS_MAX: usize = 32;

/// What the nodes answered.
#[derive(Debug, Default)]
pub struct FleetSurvey {
    /// Nodes that answered, by instance.
    pub answers: Vec<NodeStatus>,
    /// Those that didn't.
    pub silent: Vec<SilentNode>,
}

/// A node that didn't answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// Address of its status page.
    pub addr: SocketAddr,
    /// What was met.
    pub reason: String,
}

/// Asks the nodes whose status pages are at `addrs`.
///
/// # Panics
///
/// Panics when an asking thread did, which is a bug.
pub fn survey(addrs: impl IntoIterator<Item = SocketAddr>) -> FleetSurvey {
    let addrs: Vec<SocketAddr> = addrs.into_iter().collect();
    let workers = addrs.len().min(CONCURRENT_REQUESTS_MAX);
    let waiting = Mutex::new(addrs.into_iter());
    let answers = Mutex::new(BTreeMap::new());
    let next = || waiting.lock().expect("no asker panics").next();
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                while let Some(addr) = next() {
                    let answer = StatusClient::new(addr).status();
                    let mut answers = answers.lock().expect("no asker panics");
                    answers.insert(addr, answer);
                }
            });
        }
    });
    let mut survey = FleetSurvey::default();
    for (addr, answer) in answers.into_inner().expect("no asker panics") {
        match answer {
            Ok(status) => survey.answers.push(status),
            Err(error) => survey.silent.push(SilentNode {
                addr,
                reason: error.to_string(),
            }),
        }
    }
    survey.answers.sort_by(|a, b| a.instance.cmp(&b.instance));
    survey
}
