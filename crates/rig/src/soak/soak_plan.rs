//! Plans of which faults start and end when.

use std::fmt;

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde::Serialize;

use super::{FaultKind, fault_overlay::FaultOverlay};

/// Time before the first fault, so that the load is running by then.
const FIRST_MS: u64 = 1_000;
/// Range of a fault's duration.
pub(super) const LENGTH_MS: std::ops::Range<u64> = 200..5_000;
/// Mean time between two starts. Faults last some 2.5 s, so about four are active
/// at any moment.
const GAP_MS: u64 = 650;
/// Probability that a draw repeats the last kind, which makes series of faults.
const SERIES_PROBABILITY: f64 = 0.25;
/// Mean time between two starts of the last overlay's faults, which are restores of the
/// store.
const LAST_OVERLAY_GAP_MS: u64 = 6_000;
/// Mixed into the seed of the last overlay, so that its draws differ from the
/// others'.
const LAST_OVERLAY_SEED: u64 = 0x6c61_7374;
/// Range of the time that the store is unavailable before it is restored from a
/// copy.
const STORE_OUTAGE_MS: std::ops::Range<u64> = 100..1_500;

/// One fault of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlannedFault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Numbers of the affected instances; empty means all.
    pub targets: Vec<usize>,
    /// Start, in milliseconds after the start of the plan.
    pub start_ms: u64,
    /// End, in milliseconds after the start of the plan.
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

/// All faults of a run, ordered by start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SoakPlan {
    /// Seed from which the plan was drawn.
    pub seed: u64,
    /// Faults, ordered by start.
    pub faults: Vec<PlannedFault>,
}

impl SoakPlan {
    /// Draws a plan without overlaid faults for a fleet of `nodes` instances.
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
                Some(last) if rng.random_bool(SERIES_PROBABILITY) => last.kind,
                _ => FaultKind::base_kinds()[rng.random_range(0..FaultKind::base_kinds().len())],
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

    /// Draws a plan as [`SoakPlan::draw`] does, with overlaid faults.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let (whole, base) = (SoakPlan::draw_with_overlay(7, 20, 8), SoakPlan::draw(7, 20, 8));
    /// assert!(base.faults.iter().all(|fault| whole.faults.contains(fault)));
    /// ```
    pub fn draw_with_overlay(seed: u64, seconds: u64, nodes: usize) -> Self {
        let mut plan = Self::draw(seed, seconds, nodes);
        plan.add_overlay(&FaultOverlay::FAULTS, seconds, nodes);
        plan
    }

    /// Adds backend servers that name limits, or say in their responses that they leave.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let base = SoakPlan::draw(7, 20, 8);
    /// let mut plan = base.clone();
    /// plan.add_notices(20, 8);
    /// assert!(base.faults.iter().all(|fault| plan.faults.contains(fault)));
    /// ```
    pub fn add_notices(&mut self, seconds: u64, nodes: usize) {
        self.add_overlay(&FaultOverlay::NOTICES, seconds, nodes);
    }

    /// Adds backend servers that leave while something says that they are ready.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let base = SoakPlan::draw(7, 20, 8);
    /// let mut plan = base.clone();
    /// plan.add_leavings(20, 8);
    /// assert!(base.faults.iter().all(|fault| plan.faults.contains(fault)));
    /// ```
    pub fn add_leavings(&mut self, seconds: u64, nodes: usize) {
        self.add_overlay(&FaultOverlay::LEAVINGS, seconds, nodes);
    }

    fn add_overlay(&mut self, overlay: &FaultOverlay, seconds: u64, nodes: usize) {
        let mut rng = StdRng::seed_from_u64(self.seed ^ overlay.seed);
        let mut start_ms = FIRST_MS;
        while start_ms < seconds * 1_000 {
            let kind = overlay.kinds[rng.random_range(0..overlay.kinds.len())];
            let count = rng.random_range(1..=nodes.div_ceil(overlay.nodes_per_target));
            self.faults.push(PlannedFault {
                kind,
                targets: (0..nodes).sample(&mut rng, count),
                start_ms,
                end_ms: start_ms + rng.random_range(overlay.length_ms.clone()),
            });
            start_ms += rng.random_range(0..2 * overlay.gap_ms);
        }
        self.faults.sort_by_key(|fault| fault.start_ms);
    }

    /// Draws a plan as [`SoakPlan::draw_with_overlay`] does, with restores of the
    /// store.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::soak::SoakPlan;
    ///
    /// let (last, whole) = (
    ///     SoakPlan::draw_with_all_overlays(7, 20, 8),
    ///     SoakPlan::draw_with_overlay(7, 20, 8),
    /// );
    /// assert!(whole.faults.iter().all(|fault| last.faults.contains(fault)));
    /// ```
    pub fn draw_with_all_overlays(seed: u64, seconds: u64, nodes: usize) -> Self {
        let mut plan = Self::draw_with_overlay(seed, seconds, nodes);
        let mut rng = StdRng::seed_from_u64(seed ^ LAST_OVERLAY_SEED);
        let mut start_ms = FIRST_MS + rng.random_range(0..LAST_OVERLAY_GAP_MS);
        while start_ms < seconds * 1_000 {
            plan.faults.push(PlannedFault {
                kind: FaultKind::LAST_OVERLAY_KINDS
                    [rng.random_range(0..FaultKind::LAST_OVERLAY_KINDS.len())],
                targets: Vec::new(),
                start_ms,
                end_ms: start_ms + rng.random_range(STORE_OUTAGE_MS),
            });
            start_ms += rng.random_range(0..2 * LAST_OVERLAY_GAP_MS);
        }
        plan.faults.sort_by_key(|fault| fault.start_ms);
        plan
    }
}
