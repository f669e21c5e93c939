//! Which faults come when.

use std::fmt;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde::Serialize;
use strum::VariantArray;

use super::FaultKind;

/// No fault before this time, so that the load is under way.
const FIRST_MS: u64 = 1_000;
/// Shortest and longest time that a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 200..5_000;
/// Mean time between two starts: with some 2.5 s each, about four faults are
/// there at any moment.
const GAP_MS: u64 = 650;
/// Part of the draws that repeat the last kind, for faults in series.
const SERIES_PART: f64 = 0.25;

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// What fails.
    pub kind: FaultKind,
    /// Numbers of the instances concerned; empty when all are.
    pub targets: Vec<usize>,
    /// Start in milliseconds after that of the load.
    pub start_ms: u64,
    /// End.
    pub end_ms: u64,
}

impl fmt::Display for PlannedFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            targets,
            start_ms,
            end_ms,
        } = self;
        write!(f, "{start_ms:>7} ms to {end_ms:>7} ms  {kind} {targets:?}")
    }
}

/// All faults of a run, by their start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SoakPlan {
    /// Seed that it was drawn from.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws a plan for a fleet of `nodes` instances.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let plan = SoakPlan::draw(7, 20, 8);
    /// assert_eq!(plan, SoakPlan::draw(7, 20, 8));
    /// assert!(plan.faults.iter().all(|fault| fault.start_ms < 20_000));
    /// ```
    pub fn draw(seed: u64, seconds: u64, nodes: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults: Vec<PlannedFault> = Vec::new();
        let mut start_ms = FIRST_MS;
        while start_ms < seconds * 1_000 {
            let kind = match faults.last() {
                Some(last) if rng.random_bool(SERIES_PART) => last.kind,
                _ => FaultKind::VARIANTS[rng.random_range(0..FaultKind::VARIANTS.len())],
            };
            let count = rng.random_range(1..=nodes.div_ceil(3));
            let targets = if kind.has_targets() {
                (0..nodes).sample(&mut rng, count)
            } else {
                Vec::new()
            };
            faults.push(PlannedFault {
                kind,
                targets,
                start_ms,
                end_ms: start_ms + rng.random_range(LENGTH_MS),
            });
            start_ms += rng.random_range(0..2 * GAP_MS);
        }
        Self { seed, faults }
    }
}
