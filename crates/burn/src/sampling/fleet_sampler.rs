//! Reads every node of the fleet once.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use super::{AdminClient, FleetSample, MissingNode, ObjectiveSource};
use crate::{BurnError, NodeReading};

/// Nodes asked at the same time: an unreachable one takes 1.5 s, and a failed
/// rack of 40 is through in two rounds.
const ASKED_AT_ONCE: usize = 32;

/// Takes samples of one fleet.
#[derive(Debug)]
pub struct FleetSampler {
    seeds: Vec<SocketAddr>,
    source: ObjectiveSource,
}

impl FleetSampler {
    /// Asks `seeds` for the members of the fleet, and `source` for objectives.
    pub const fn new(seeds: Vec<SocketAddr>, source: ObjectiveSource) -> Self {
        Self { seeds, source }
    }

    /// Reads every member that one seed knows, and every seed.
    ///
    /// # Errors
    ///
    /// When no seed tells the members, or the objectives can't be had. A node
    /// that can't be read is no error: the sample names it.
    pub fn sample(&self) -> Result<FleetSample, BurnError> {
        let answers = read_all(self.pages()?.into_iter());
        let mut readings = BTreeMap::new();
        let mut missing = Vec::new();
        for (addr, answer) in answers {
            match answer {
                Ok(reading) => drop(readings.insert(reading.instance.clone(), reading)),
                Err(error) => missing.push(MissingNode {
                    instance: None,
                    admin_addr: Some(addr),
                    reason: error.to_string(),
                }),
            }
        }
        let nodes: Vec<NodeReading> = readings.into_values().collect();
        let traffic = nodes.iter().flat_map(|node| node.traffic.keys());
        let objectives = self.source.read(traffic.map(|key| &*key.service))?;
        Ok(FleetSample {
            at_ms: wall_clock_ms(),
            version: nodes.iter().map(|node| node.version).max().unwrap_or(0),
            objectives,
            nodes,
            missing,
        })
    }

    /// Returns the pages of all nodes: those of one data centre's machines
    /// have the same port.
    fn pages(&self) -> Result<BTreeSet<SocketAddr>, BurnError> {
        let mut failure = BurnError::NoNode;
        for seed in &self.seeds {
            match AdminClient::new(*seed).members() {
                Ok(members) => {
                    let addrs = members.iter().map(|member| member.peer_addr.ip());
                    let pages = addrs.map(|ip| SocketAddr::new(ip, seed.port()));
                    return Ok(pages.chain(self.seeds.iter().copied()).collect());
                }
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }
}

fn read_all(
    addrs: impl Iterator<Item = SocketAddr> + Send,
) -> BTreeMap<SocketAddr, Result<NodeReading, BurnError>> {
    let waiting = Mutex::new(addrs);
    let answers = Mutex::new(BTreeMap::new());
    let next = || waiting.lock().expect("no reader panics").next();
    thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE {
            scope.spawn(|| {
                while let Some(addr) = next() {
                    let answer = AdminClient::new(addr).reading();
                    let mut answers = answers.lock().expect("no reader panics");
                    answers.insert(addr, answer);
                }
            });
        }
    });
    answers.into_inner().expect("no reader panics")
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
