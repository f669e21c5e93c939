//! Report of one soak run.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Breach, SoakEvidence};
use crate::{CallOutcome, CallRecord};

/// Result of one run, printed as text and as one line of JSON.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of instances.
    pub nodes: usize,
    /// Seconds during which faults started.
    pub seconds: u64,
    /// Number of faults.
    pub faults: usize,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a good response.
    pub good: usize,
    /// Number of requests that were reported as not run.
    pub refused: usize,
    /// Number of requests whose caller disconnected early on purpose.
    #[serde(rename = "left")]
    pub caller_left: usize,
    /// Time to a good response, 50th and 99th percentile, in milliseconds.
    pub good_ms: [u64; 2],
    /// Time to a refusal, 99th percentile, in milliseconds.
    pub refused_ms: u64,
    /// Time from a version's publication until a node was first seen to apply it,
    /// faults included, 50th and 99th percentile, in milliseconds.
    pub version_ms: [u64; 2],
    /// Longest time after an acknowledged drain at which a run started, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time from the end of the faults to recovery, in milliseconds.
    pub recovery_ms: u64,
    /// Promises that were broken.
    pub breaches: Vec<Breach>,
}

impl SoakReport {
    /// Creates a report from the evidence, without versions, recovery and breaches.
    pub fn of_calls(seed: u64, seconds: u64, evidence: &SoakEvidence) -> Self {
        let calls = &evidence.calls;
        let good: Vec<&CallRecord> = calls.iter().filter(|call| call.is_good()).collect();
        let refused: Vec<&CallRecord> = calls.iter().filter(|call| call.is_refused()).collect();
        let left = calls.iter();
        let left = left.filter(|call| matches!(call.outcome, CallOutcome::Left));
        let times = |calls: &[&CallRecord]| {
            let times = calls.iter();
            latency_histogram(
                times.map(|call| call.ended.duration_since(call.sent).as_millis() as u64),
            )
        };
        let (good_times, refused_times) = (times(&good), times(&refused));
        let drains = evidence.observe_drains();
        let last_run_times = drains.iter().filter_map(|drain| drain.last_run_after);
        Self {
            seed,
            nodes: evidence.events.len(),
            seconds,
            faults: evidence.faults.len(),
            requests: calls.len(),
            good: good.len(),
            refused: refused.len(),
            caller_left: left.count(),
            good_ms: [0.5, 0.99].map(|part| good_times.value_at_quantile(part)),
            refused_ms: refused_times.value_at_quantile(0.99),
            version_ms: [0, 0],
            drain_ms: last_run_times.max().unwrap_or_default().as_millis() as u64,
            recovery_ms: 0,
            breaches: Vec::new(),
        }
    }
}

/// Returns a histogram of latencies in milliseconds.
pub(super) fn latency_histogram(times: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three significant digits are valid");
    for time in times {
        // The histogram resizes itself, so that every value fits.
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
            "  {} requests: {} good, {} refused, {} abandoned by their callers",
            self.requests, self.good, self.refused, self.caller_left
        )?;
        writeln!(
            f,
            "  good after {}/{} ms (p50/p99), refused after {} ms (p99)",
            self.good_ms[0], self.good_ms[1], self.refused_ms
        )?;
        writeln!(
            f,
            "  versions applied after {}/{} ms, last run {} ms after a drain, recovered in {} ms",
            self.version_ms[0], self.version_ms[1], self.drain_ms, self.recovery_ms
        )?;
        for breach in &self.breaches {
            writeln!(f, "  BROKEN {}: {}", breach.promise, breach.what)?;
        }
        Ok(())
    }
}
