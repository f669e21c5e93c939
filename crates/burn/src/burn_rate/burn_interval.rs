//! Response tallies of the time between two samples.

use std::collections::{BTreeMap, BTreeSet};

use super::{BurnTally, TallyKey};

/// Tallies of one service by data centre and request kind.
pub type ServiceTallies = BTreeMap<TallyKey, BurnTally>;

/// Tallies of the time between two samples, or of several adjacent intervals.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BurnInterval {
    /// Time of the earlier sample, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Time of the later sample, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Tallies by service, only of services with an objective.
    pub tallies: BTreeMap<String, ServiceTallies>,
    /// Services without an objective for which a node has counted responses.
    ///
    /// The responses may be older than the interval.
    pub without_objective: BTreeSet<String>,
    /// Services whose objective differs from the earlier sample's or was removed.
    pub changed_objectives: BTreeSet<String>,
    /// Instances whose node restarted.
    ///
    /// The counts between the old process's last reading and its end are lost.
    pub restarted: BTreeSet<String>,
}

impl BurnInterval {
    /// Extends this interval by the one that follows it, adding up the tallies.
    pub fn append(&mut self, later: Self) {
        self.end_ms = later.end_ms;
        for (service, tallies) in later.tallies {
            let sums = self.tallies.entry(service).or_default();
            for (key, tally) in tallies {
                *sums.entry(key).or_default() += tally;
            }
        }
        self.without_objective.extend(later.without_objective);
        self.changed_objectives.extend(later.changed_objectives);
        self.restarted.extend(later.restarted);
    }
}
