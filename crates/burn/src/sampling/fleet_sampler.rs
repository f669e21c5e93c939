//! Reads every node of the fleet once.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Mutex,
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use geranium_model::{MemberRow, MemberState};

use super::{AdminClient, FleetSample, MissingNode, PresetSource};
use crate::{BurnError, NodeReading};

/// Nodes asked at the same time: an unreachable one takes 1.5 s, and a failed
/// rack of 40 is through in two rounds.
const ASKED_AT_ONCE: usize = 32;

/// Takes samples of one fleet.
#[derive(Debug)]
pub struct FleetSampler {
    seeds: Vec<SocketAddr>,
    source: PresetSource,
}

impl FleetSampler {
    /// Asks `seeds` for the members of the fleet, and `source` for objectives.
    pub const fn new(seeds: Vec<SocketAddr>, source: PresetSource) -> Self {
        Self { seeds, source }
    }

    /// Reads every member that one seed knows, and every seed.
    ///
    /// # Errors
    ///
    /// When no seed tells the members, or the objectives can't be had. A node
    /// that can't be read is no error: the sample names it.
    pub fn sample(&self) -> Result<FleetSample, BurnError> {
        let rows = self.members()?;
        let (version, objectives) = self.source.read()?;
        let present = rows.iter().filter(|row| row.state != MemberState::Gone);
        let mut expected: BTreeMap<SocketAddr, Option<&MemberRow>> =
            present.map(|row| (row.admin_addr, Some(row))).collect();
        for seed in &self.seeds {
            expected.entry(*seed).or_default();
        }
        let answers = read_all(expected.keys().copied());
        let mut readings = BTreeMap::new();
        let mut missing = Vec::new();
        for (addr, answer) in answers {
            let row = expected[&addr];
            match answer {
                Ok(mut reading) => {
                    if let Some(row) = row {
                        reading.data_centre = row.data_centre.clone();
                    }
                    readings.insert(reading.instance.clone(), reading);
                }
                Err(error) => missing.push(MissingNode {
                    instance: row.map(|row| row.instance.clone()),
                    admin_addr: Some(addr),
                    reason: error.to_string(),
                }),
            }
        }
        // An instance that moved is listed by its former address for a while.
        missing.retain(|node| {
            let known = node.instance.as_ref();
            known.is_none_or(|instance| !readings.contains_key(instance))
        });
        Ok(FleetSample {
            at_ms: wall_clock_ms(),
            version,
            objectives,
            nodes: readings.into_values().collect(),
            missing,
        })
    }

    fn members(&self) -> Result<Vec<MemberRow>, BurnError> {
        let mut failure = BurnError::NoNode;
        for addr in &self.seeds {
            match AdminClient::new(*addr).members() {
                Ok(rows) => return Ok(rows),
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
