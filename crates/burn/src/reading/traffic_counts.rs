//! Counts of final answers.

use serde::{Deserialize, Serialize};

use super::LatencyBucket;

/// Final answers, by what they say of the service.
///
/// On a node's page they run since its start; [`TrafficCounts::since`] gives
/// those between two pages of one process.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficCounts {
    /// Answers with outcome `ran` and a status below 500.
    pub good: u64,
    /// Any other answer that isn't the caller's own fault.
    pub bad: u64,
    /// Answers that are the caller's own fault.
    pub caller_faults: u64,
    /// Answers with outcome `ran`, whatever their status: those whose latency
    /// the node measures.
    pub timed: u64,
    /// Buckets of the timed answers, bounds rising.
    pub buckets: Vec<LatencyBucket>,
}

impl TrafficCounts {
    /// Returns the counts added since `earlier`, or `None` if any fell.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::TrafficCounts;
    ///
    /// let count = |good| TrafficCounts { good, ..Default::default() };
    /// assert_eq!(count(7).since(&count(4)), Some(count(3)));
    /// assert_eq!(count(1).since(&count(4)), None);
    /// ```
    pub fn since(&self, earlier: &Self) -> Option<Self> {
        let buckets = if earlier.buckets.is_empty() {
            self.buckets.clone()
        } else {
            self.buckets_since(&earlier.buckets)?
        };
        Some(Self {
            good: self.good.checked_sub(earlier.good)?,
            bad: self.bad.checked_sub(earlier.bad)?,
            caller_faults: self.caller_faults.checked_sub(earlier.caller_faults)?,
            timed: self.timed.checked_sub(earlier.timed)?,
            buckets,
        })
    }

    /// Returns the good answers that took longer than `latency_ms`.
    ///
    /// A threshold between two bounds is rounded down to the next lower one
    /// (below the lowest, every answer is slow), and slow answers with a bad
    /// status are counted in, up to the number of good ones: the result can
    /// only be too high.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::{LatencyBucket, TrafficCounts};
    ///
    /// let bucket = |bound_s, count| LatencyBucket { bound_s, count };
    /// let buckets = vec![bucket(0.1, 6), bucket(0.25, 9)];
    /// let counts = TrafficCounts { good: 10, timed: 10, buckets, ..Default::default() };
    /// assert_eq!(counts.slow_responses(250), 1);
    /// assert_eq!(counts.slow_responses(249), 4);
    /// ```
    pub fn slow_responses(&self, latency_ms: u32) -> u64 {
        let threshold = f64::from(latency_ms) / 1_000.0;
        let reached = self
            .buckets
            .iter()
            .rfind(|bucket| bucket.bound_s <= threshold);
        let fast = reached.map_or(0, |bucket| bucket.count);
        self.timed.saturating_sub(fast).min(self.good)
    }

    fn buckets_since(&self, earlier: &[LatencyBucket]) -> Option<Vec<LatencyBucket>> {
        if self.buckets.len() != earlier.len() {
            return None;
        }
        let pairs = self.buckets.iter().zip(earlier);
        pairs
            .map(|(bucket, former)| {
                Some(LatencyBucket {
                    count: bucket.count.checked_sub(former.count)?,
                    ..*bucket
                })
            })
            .collect()
    }
}
