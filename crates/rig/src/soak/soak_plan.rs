//! Which faults come when.

use std::fmt;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde::Serialize;

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
/// Mean time between two starts of faults that are laid over the others.
const OVER_GAP_MS: u64 = 2_000;
/// Mixed into the seed of these.
const OVER_SEED: u64 = 0x6f76_6572;
/// Mean time between the faults that are laid over all others.
const LAST_GAP_MS: u64 = 6_000;
/// Sets their draws apart from the others of the same seed.
const LAST_SEED: u64 = 0x6c61_7374;
/// Time for which the store is away before it comes back from a copy.
const AWAY_MS: std::ops::Range<u64> = 100..1_500;

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
                _ => FaultKind::drawn()[rng.random_range(0..FaultKind::drawn().len())],
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

    /// Draws a plan as [`SoakPlan::draw`] does, with the faults that are laid over
    /// it.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let (whole, base) = (SoakPlan::draw_whole(7, 20, 8), SoakPlan::draw(7, 20, 8));
    /// assert!(base.faults.iter().all(|fault| whole.faults.contains(fault)));
    /// ```
    pub fn draw_whole(seed: u64, seconds: u64, nodes: usize) -> Self {
        let mut plan = Self::draw(seed, seconds, nodes);
        let mut rng = StdRng::seed_from_u64(seed ^ OVER_SEED);
        let mut start_ms = FIRST_MS;
        while start_ms < seconds * 1_000 {
            let kind = FaultKind::LAID_OVER[rng.random_range(0..FaultKind::LAID_OVER.len())];
            let count = rng.random_range(1..=nodes.div_ceil(3));
            plan.faults.push(PlannedFault {
                kind,
                targets: (0..nodes).sample(&mut rng, count),
                start_ms,
                end_ms: start_ms + rng.random_range(LENGTH_MS),
            });
            start_ms += rng.random_range(0..2 * OVER_GAP_MS);
        }
        plan.faults.sort_by_key(|fault| fault.start_ms);
        plan
    }

    /// Draws a plan as [`SoakPlan::draw_whole`] does, with copies of the store.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let (last, whole) = (SoakPlan::draw_last(7, 20, 8), SoakPlan::draw_whole(7, 20, 8));
    /// assert!(whole.faults.iter().all(|fault| last.faults.contains(fault)));
    /// ```
    pub fn draw_last(seed: u64, seconds: u64, nodes: usize) -> Self {
        let mut plan = Self::draw_whole(seed, seconds, nodes);
        let mut rng = StdRng::seed_from_u64(seed ^ LAST_SEED);
        let mut start_ms = FIRST_MS + rng.random_range(0..LAST_GAP_MS);
        while start_ms < seconds * 1_000 {
            plan.faults.push(PlannedFault {
                kind: FaultKind::LAID_LAST[rng.random_range(0..FaultKind::LAID_LAST.len())],
                targets: Vec::new(),
                start_ms,
                end_ms: start_ms + rng.random_range(AWAY_MS),
            });
            start_ms += rng.random_range(0..2 * LAST_GAP_MS);
        }
        plan.faults.sort_by_key(|fault| fault.start_ms);
        plan
    }
}
