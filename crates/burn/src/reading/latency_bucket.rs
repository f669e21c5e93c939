//! Buckets of the latency histogram.

use serde::{Deserialize, Serialize};

/// Answers up to one bound.
///
/// Kept samples are mostly buckets, so they are written as pairs without field
/// names.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, u64)", into = "(f64, u64)")]
pub struct LatencyBucket {
    /// Bound in seconds, inclusive.
    pub bound_s: f64,
    /// Answers since the node's start that took at most so long.
    pub count: u64,
}

impl From<(f64, u64)> for LatencyBucket {
    fn from((bound_s, count): (f64, u64)) -> Self {
        Self { bound_s, count }
    }
}

impl From<LatencyBucket> for (f64, u64) {
    fn from(bucket: LatencyBucket) -> Self {
        (bucket.bound_s, bucket.count)
    }
}
