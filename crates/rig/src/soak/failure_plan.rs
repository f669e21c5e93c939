//! Which failures happen when.

use std::fmt;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};
use strum::VariantArray;

use super::FailureKind;

/// No failure before this time, so that the load is under way.
const FIRST_MS: u64 = 2_000;
/// Shortest and longest time that a failure lasts.
const LENGTH_MS: std::ops::Range<u64> = 500..15_000;
/// Mean time between two starts: with some seven seconds each, about five
/// failures are there at any moment.
const GAP_MS: u64 = 1_500;
/// Share of the run after which all failures have ended.
const END_SHARE: f64 = 0.8;

/// One failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFailure {
    /// What fails.
    pub kind: FailureKind,
    /// Numbers of the instances concerned; empty for the platform.
    pub targets: Vec<usize>,
    /// Start in milliseconds after the start of the load.
    pub start_ms: u64,
    /// End.
    pub end_ms: u64,
}

impl PlannedFailure {
    fn clashes(&self, other: &Self) -> bool {
        let overlaps = self.start_ms <= other.end_ms && other.start_ms <= self.end_ms;
        let same = |target| other.targets.contains(target);
        let part = self.kind.hits_backend() == other.kind.hits_backend();
        let held = self.kind.holds_process() || other.kind.holds_process();
        let faults = self.kind.backend_faults().is_some() && other.kind.backend_faults().is_some();
        overlaps && part && (held || faults) && self.targets.iter().any(same)
    }
}

impl fmt::Display for PlannedFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>7} ms to {:>7} ms  {} {:?}",
            self.start_ms, self.end_ms, self.kind, self.targets
        )
    }
}

/// All failures of a run, by their start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailurePlan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// The failures.
    pub failures: Vec<PlannedFailure>,
}

impl FailurePlan {
    /// Draws a plan for a fleet of `pairs` instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::FailurePlan;
    ///
    /// let plan = FailurePlan::draw(7, 60, 8);
    /// assert_eq!(plan, FailurePlan::draw(7, 60, 8));
    /// assert!(plan.failures.iter().all(|failure| failure.end_ms <= 48_000));
    /// ```
    pub fn draw(seed: u64, seconds: u64, pairs: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let last_ms = (seconds as f64 * 1_000.0 * END_SHARE) as u64;
        let mut failures: Vec<PlannedFailure> = Vec::new();
        let mut start_ms = FIRST_MS;
        while start_ms + LENGTH_MS.start < last_ms {
            let failure = draw_failure(&mut rng, start_ms, last_ms, pairs);
            if !failures.iter().any(|other| failure.clashes(other)) {
                failures.push(failure);
            }
            start_ms += rng.random_range(0..2 * GAP_MS);
        }
        Self { seed, failures }
    }
}

fn draw_failure(rng: &mut StdRng, start_ms: u64, last_ms: u64, pairs: usize) -> PlannedFailure {
    let kinds = FailureKind::VARIANTS;
    let kind = *kinds.choose(rng).expect("there are kinds");
    let end_ms = (start_ms + rng.random_range(LENGTH_MS)).min(last_ms);
    let count = match kind {
        FailureKind::NodeHerd | FailureKind::BackendHerd => rng.random_range(2..=pairs * 3 / 4),
        _ => usize::from(kind.holds_process() || kind.backend_faults().is_some()),
    };
    let all: Vec<usize> = (0..pairs).collect();
    let mut targets: Vec<usize> = all.sample(rng, count).copied().collect();
    targets.sort_unstable();
    PlannedFailure {
        kind,
        targets,
        start_ms,
        end_ms,
    }
}
