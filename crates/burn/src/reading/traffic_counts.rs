//! Response counts by outcome and latency.

use serde::{Deserialize, Serialize};

use super::LatencyBucket;

/// Counts of final responses to callers, by outcome and latency.
///
/// The counts of a metrics page run from the node's start;
/// [`TrafficCounts::since`] returns those between two pages of one process.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficCounts {
    /// Good responses: those with result `good` or `slow` in the node's metrics.
    pub good: u64,
    /// Bad responses: those with result `failed`.
    pub bad: u64,
    /// Responses to requests that were at fault themselves: result `caller-fault`.
    pub caller_faults: u64,
    /// Responses whose latency the node recorded; at present the good ones.
    pub timed: u64,
    /// Latency buckets of the timed responses, in order of their bounds.
    pub buckets: Vec<LatencyBucket>,
}

impl TrafficCounts {
    /// Returns the counts added since `earlier`.
    ///
    /// The result is `None` if any count decreased or the number of buckets changed.
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

    /// Returns the number of good responses that took longer than `latency_ms`.
    ///
    /// The result can only be too high. A threshold between two bucket bounds is
    /// rounded down to the lower one, and below the lowest bound every response
    /// is slow. If bad responses are timed too, the slow ones among them count,
    /// up to the number of good responses.
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
            .map(|(bucket, previous)| {
                Some(LatencyBucket {
                    count: bucket.count.checked_sub(previous.count)?,
                    ..*bucket
                })
            })
            .collect()
    }
}
