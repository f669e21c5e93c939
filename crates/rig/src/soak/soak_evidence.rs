//! Observations made during a soak.

use std::time::{Duration, Instant};

use geranium_standins::RunRecord;

use super::FaultKind;
use crate::{AckedDrain, CallRecord, NodeEvent, NoticeSpan};

/// A fault with the time span in which it was active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FaultSpan {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Numbers of the affected instances; empty means all.
    pub targets: Vec<usize>,
    /// When the fault started.
    pub from: Instant,
    /// When the fault ended.
    pub to: Instant,
}

impl FaultSpan {
    /// Whether the fault was active between two times, extended by `margin` on both
    /// sides.
    pub fn overlaps(&self, from: Instant, to: Instant, margin: Duration) -> bool {
        self.from <= to + margin && from <= self.to + margin
    }

    /// Whether the fault affects an instance.
    pub fn concerns(&self, node: usize) -> bool {
        self.targets.is_empty() || self.targets.contains(&node)
    }
}

/// A drain, and how long requests still arrived after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainObservation {
    /// The acknowledged drain.
    pub drain: AckedDrain,
    /// Time from the acknowledgment to the start of the last run after it; `None` if
    /// there was none.
    pub last_run_after: Option<Duration>,
}

/// Observations of callers, backend servers and the operating system.
#[derive(Debug, Clone, Default)]
pub struct SoakEvidence {
    /// Requests of callers, with their outcomes.
    pub calls: Vec<CallRecord>,
    /// Requests that backend servers ran.
    pub runs: Vec<RunRecord>,
    /// Drains and deregistrations that nodes acknowledged.
    pub acked_drains: Vec<AckedDrain>,
    /// What backend servers said of themselves in their responses.
    pub notices: Vec<NoticeSpan>,
    /// Faults that were injected.
    pub faults: Vec<FaultSpan>,
    /// Starts and ends of each node's process, by node.
    pub events: Vec<Vec<NodeEvent>>,
}

impl SoakEvidence {
    /// Returns each acknowledged drain with the last run that started after it.
    pub fn observe_drains(&self) -> Vec<DrainObservation> {
        let observation = |drain: &AckedDrain| {
            let runs = self.runs.iter();
            let runs = runs.filter(|run| drain.is_of(&run.instance, run.born_ms));
            let after = runs.filter_map(|run| run.began.checked_duration_since(drain.at));
            DrainObservation {
                drain: drain.clone(),
                last_run_after: after.max(),
            }
        };
        self.acked_drains.iter().map(observation).collect()
    }
}
