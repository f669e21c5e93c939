//! Percentiles of paired calls.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Percentiles of one kind of call, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SpreadReport {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl SpreadReport {
    /// Sums up samples in microseconds.
    pub(crate) fn of(mut samples: Vec<i64>) -> Self {
        samples.sort_unstable();
        let at = |quantile: f64| {
            let rank = (samples.len() as f64 * quantile).ceil() as usize;
            let sample = samples.get(rank.saturating_sub(1));
            sample.map_or(0.0, |us| *us as f64 / 1_000.0)
        };
        Self {
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }
}

/// Direct calls, calls through a node, and the difference.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct PairReport {
    /// Calls straight to the backend server.
    pub direct: SpreadReport,
    /// Calls through the node.
    pub through_node: SpreadReport,
    /// Difference within each pair of neighbouring calls.
    pub added: SpreadReport,
    /// 99th percentile through the node less that of direct calls, in
    /// milliseconds: the tails' difference, without pairing.
    pub p99_shift_ms: f64,
    /// Pairs in which both calls succeeded.
    pub pairs: usize,
}

impl fmt::Display for PairReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds = [
            ("direct", self.direct),
            ("through node", self.through_node),
            ("added", self.added),
        ];
        for (name, spread) in kinds {
            writeln!(
                f,
                "  {name:<13} p50 {:>7.3} ms  p99 {:>7.3} ms",
                spread.p50_ms, spread.p99_ms
            )?;
        }
        write!(
            f,
            "  p99 shift {:.3} ms over {} pairs",
            self.p99_shift_ms, self.pairs
        )
    }
}
