//! Bucket of the latency histogram.

use serde::{Deserialize, Serialize};

/// Cumulative count of responses up to one latency bound.
///
/// Sample files consist mostly of buckets, so a bucket is written as a pair
/// without field names.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, u64)", into = "(f64, u64)")]
pub struct LatencyBucket {
    /// Upper bound of the latency in seconds, inclusive.
    pub bound_s: f64,
    /// Number of responses that took at most `bound_s`.
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
