//! Sampler that reads every node of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use super::{AdminClient, FleetSample, MissingNode, ObjectiveSource};
use crate::{BurnError, NodeReading};

/// Largest number of nodes that are read at the same time.
///
/// An unreachable node takes 1.5 s, so a failed rack of 40 takes two rounds.
const CONCURRENT_READS_MAX: usize = 32;

/// Takes samples of the fleet.
#[derive(Debug)]
pub struct FleetSampler {
    seeds: Vec<SocketAddr>,
    source: ObjectiveSource,
}

impl FleetSampler {
    /// Creates a sampler.
    ///
    /// The members of the fleet are read from one of the `seeds`, which are
    /// admin addresses, and the objectives from `source`.
    pub const fn new(seeds: Vec<SocketAddr>, source: ObjectiveSource) -> Self {
        Self { seeds, source }
    }

    /// Reads every member that one seed knows, and every seed.
    ///
    /// # Errors
    ///
    /// Returns an error when no seed returns the members, or the objectives can't
    /// be read. A node that can't be read is no error; the sample lists it as
    /// missing.
    pub fn sample(&self) -> Result<FleetSample, BurnError> {
        let results = read_all(self.admin_addrs()?.into_iter());
        let mut readings = BTreeMap::new();
        let mut missing = Vec::new();
        for (addr, result) in results {
            match result {
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

    /// Returns the admin addresses of all members and seeds.
    ///
    /// The members are those of the first seed that responds. Member records
    /// don't contain the admin port, so every member is taken to use the port of
    /// that seed.
    fn admin_addrs(&self) -> Result<BTreeSet<SocketAddr>, BurnError> {
        let mut failure = BurnError::NoNode;
        for seed in &self.seeds {
            match AdminClient::new(*seed).members() {
                Ok(members) => {
                    let ips = members.iter().map(|member| member.peer_addr.ip());
                    let admin_addrs = ips.map(|ip| SocketAddr::new(ip, seed.port()));
                    return Ok(admin_addrs.chain(self.seeds.iter().copied()).collect());
                }
                Err(error) => failure = error,
            }
        }
        Err(failure)
    }
}

/// Reads the metrics pages at these admin addresses concurrently.
fn read_all(
    addrs: impl Iterator<Item = SocketAddr> + Send,
) -> BTreeMap<SocketAddr, Result<NodeReading, BurnError>> {
    let remaining = Mutex::new(addrs);
    let results = Mutex::new(BTreeMap::new());
    let next = || remaining.lock().expect("no reader panics").next();
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_READS_MAX {
            scope.spawn(|| {
                while let Some(addr) = next() {
                    let result = AdminClient::new(addr).reading();
                    let mut results = results.lock().expect("no reader panics");
                    results.insert(addr, result);
                }
            });
        }
    });
    results.into_inner().expect("no reader panics")
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
