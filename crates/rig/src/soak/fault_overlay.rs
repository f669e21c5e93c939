//! Overlays: faults that are drawn apart from a plan's, so that those stay the same.

use std::ops::Range;

use super::{FaultKind, soak_plan::LENGTH_MS};

/// Faults that are drawn apart from those of a plan and added to it.
#[derive(Debug)]
pub(super) struct FaultOverlay {
    /// Kinds from which each fault is drawn.
    pub(super) kinds: &'static [FaultKind],
    /// Mixed into the seed of the plan, so that the draws differ from the others'.
    pub(super) seed: u64,
    /// Mean time between two starts, in milliseconds.
    pub(super) gap_ms: u64,
    /// Range of a fault's duration, in milliseconds.
    pub(super) length_ms: Range<u64>,
    /// Number of nodes for each target that a fault has at most.
    pub(super) nodes_per_target: usize,
}

impl FaultOverlay {
    /// Backend servers that return under their identifier, and values of another writer in the store.
    pub(super) const FAULTS: Self = Self {
        kinds: &FaultKind::OVERLAY_KINDS,
        seed: 0x6f76_6572,
        gap_ms: 2_000,
        length_ms: LENGTH_MS,
        nodes_per_target: 3,
    };
    /// Backend servers that name limits, or say that they leave. A limit holds from three seconds on.
    pub(super) const NOTICES: Self = Self {
        kinds: &FaultKind::NOTICE_OVERLAY_KINDS,
        seed: 0x6e6f_7469,
        gap_ms: 3_000,
        length_ms: 4_000..9_000,
        nodes_per_target: 3,
    };
    /// Backend servers that leave while something says that they are ready. Their nodes are killed at
    /// the end.
    pub(super) const LEAVINGS: Self = Self {
        kinds: &FaultKind::LEAVING_OVERLAY_KINDS,
        seed: 0x6c65_6176,
        gap_ms: 5_000,
        length_ms: 200..2_500,
        nodes_per_target: 4,
    };
}
