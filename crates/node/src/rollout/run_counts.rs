//! Counts of runs, by which versions are compared.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How runs of one route ended at one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RunCounts {
    /// Number of runs.
    pub runs: u64,
    /// Number of runs that failed: with a server error, a lost response, or none in time.
    pub failures: u64,
    /// Numbers of successful runs by run time in milliseconds, rounded up to about a tenth.
    /// Runs during a slow start are left out.
    pub times: BTreeMap<u64, u64>,
}

impl RunCounts {
    /// Returns the runs after `earlier` was counted.
    ///
    /// If the counts began anew meanwhile, that is all of them.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::rollout::RunCounts;
    ///
    /// let earlier = RunCounts { runs: 10, failures: 1, ..RunCounts::default() };
    /// let later = RunCounts { runs: 15, failures: 3, ..RunCounts::default() };
    /// assert_eq!(later.since(&earlier).failures, 2);
    /// assert_eq!(earlier.since(&later), earlier);
    /// ```
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        if self.runs < earlier.runs || self.failures < earlier.failures {
            return self.clone();
        }
        let times = self.times.iter().map(|(&millis, &count)| {
            let before = earlier.times.get(&millis).copied().unwrap_or(0);
            (millis, count.saturating_sub(before))
        });
        Self {
            runs: self.runs - earlier.runs,
            failures: self.failures - earlier.failures,
            times: times.filter(|&(_, count)| count > 0).collect(),
        }
    }

    /// Returns the number of successful runs that took longer than `millis`.
    pub fn slower_than(&self, millis: f64) -> u64 {
        let slower = self.times.iter().filter(|&(&time, _)| time as f64 > millis);
        slower.map(|(_, &count)| count).sum()
    }
}
