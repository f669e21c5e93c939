//! Result of a soak.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Breach, SoakEvidence};
use crate::{CallOutcome, CallRecord};

/// Result of one run, one line of JSON.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Instances.
    pub nodes: usize,
    /// Seconds in which faults began.
    pub seconds: u64,
    /// Faults.
    pub faults: usize,
    /// Requests sent.
    pub requests: usize,
    /// Those with a good answer.
    pub good: usize,
    /// Those told that they hadn't run.
    pub refused: usize,
    /// Those whose caller left early on purpose.
    pub left: usize,
    /// Time to a good answer at the 50th and 99th percentile, milliseconds.
    pub good_ms: [u64; 2],
    /// Time to a refusal at the 99th percentile, milliseconds.
    pub refused_ms: u64,
    /// Time from a version's publication to a node's first sighting of it at
    /// the 50th and 99th percentile, faults included, milliseconds.
    pub version_ms: [u64; 2],
    /// Longest time after an acknowledged leaving at which work came,
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from the end of the faults to recovery, milliseconds.
    pub recovery_ms: u64,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

impl SoakReport {
    /// Sums up what callers got.
    pub fn of_calls(seed: u64, seconds: u64, evidence: &SoakEvidence) -> Self {
        let calls = &evidence.calls;
        let good: Vec<&CallRecord> = calls.iter().filter(|call| call.is_good()).collect();
        let refused: Vec<&CallRecord> = calls.iter().filter(|call| call.is_refused()).collect();
        let left = calls.iter();
        let left = left.filter(|call| matches!(call.outcome, CallOutcome::Left));
        let times = |calls: &[&CallRecord]| {
            let times = calls.iter();
            millis(times.map(|call| call.ended.duration_since(call.sent).as_millis() as u64))
        };
        let (good_times, refused_times) = (times(&good), times(&refused));
        let drains = evidence.drains();
        let drains = drains.iter().filter_map(|drain| drain.last_run_after);
        Self {
            seed,
            nodes: evidence.events.len(),
            seconds,
            faults: evidence.faults.len(),
            requests: calls.len(),
            good: good.len(),
            refused: refused.len(),
            left: left.count(),
            good_ms: [0.5, 0.99].map(|part| good_times.value_at_quantile(part)),
            refused_ms: refused_times.value_at_quantile(0.99),
            version_ms: [0, 0],
            drain_ms: drains.max().unwrap_or_default().as_millis() as u64,
            recovery_ms: 0,
            breaches: Vec::new(),
        }
    }
}

/// Collects times in milliseconds.
pub(super) fn millis(times: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are allowed");
    for time in times {
        // A histogram that grows by itself takes every value.
        let _taken = histogram.record(time);
    }
    histogram
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} faults in {} s on {} nodes",
            self.seed, self.faults, self.seconds, self.nodes
        )?;
        writeln!(
            f,
            "  {} requests: {} good, {} refused, {} left by their callers",
            self.requests, self.good, self.refused, self.left
        )?;
        writeln!(
            f,
            "  good after {}/{} ms (p50/p99), refused after {} ms (p99)",
            self.good_ms[0], self.good_ms[1], self.refused_ms
        )?;
        writeln!(
            f,
            "  versions seen after {}/{} ms, work after a leaving until {} ms, recovered in {} ms",
            self.version_ms[0], self.version_ms[1], self.drain_ms, self.recovery_ms
        )?;
        for breach in &self.breaches {
            writeln!(f, "  BROKEN {}: {}", breach.promise, breach.what)?;
        }
        Ok(())
    }
}
