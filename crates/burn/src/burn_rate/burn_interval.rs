//! What happened between two samples.

use std::collections::{BTreeMap, BTreeSet};

use super::{BurnTally, TallyKey};

/// Tallies of one service.
pub type ServiceTallies = BTreeMap<TallyKey, BurnTally>;

/// Tallies of the time between two samples, or of several such times.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct BurnInterval {
    /// Earlier sample, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Later sample.
    pub end_ms: u64,
    /// Tallies of services that have an objective.
    pub tallies: BTreeMap<String, ServiceTallies>,
    /// Services that got requests and have no objective.
    pub without_objective: BTreeSet<String>,
    /// Services whose objective changed.
    pub changed_objectives: BTreeSet<String>,
    /// Instances whose node restarted; what it counted between its last
    /// sample and its end is lost.
    pub restarted: BTreeSet<String>,
}

impl BurnInterval {
    /// Takes in the interval that follows this one.
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
