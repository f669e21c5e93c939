//! What callers of one class received.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts by the verdict on each request's last try, and latencies in
/// milliseconds from the intended start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Requests that ended.
    pub requests: u64,
    /// Requests with a whole answer of their own.
    pub good: u64,
    /// Good requests a second.
    pub goodput: f64,
    /// Answers to another request or with other content.
    pub wrong_answers: u64,
    /// Successes that ended as if whole and lacked a part.
    pub short_answers: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests of which it stayed open whether they ran.
    pub unknown: u64,
    /// Requests whose last answer visibly broke off or didn't come.
    pub broken: u64,
    /// Requests that found no node in the end.
    pub unreachable: u64,
    /// Orders that got no ticket, and so weren't sent.
    pub without_ticket: u64,
    /// Tries beyond each request's first.
    pub resends: u64,
    /// Median latency of good requests.
    pub p50_ms: f64,
    /// 99th percentile of the latency of good requests.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of good requests.
    pub p999_ms: f64,
    /// Median time until a refusal was final.
    pub refused_p50_ms: f64,
    /// 99th percentile of the time until a refusal was final.
    pub refused_p99_ms: f64,
    /// Requests by the numbered result code of their last try.
    pub codes: BTreeMap<u16, u64>,
}

impl ClassReport {
    /// Requests that ended without a good answer.
    pub fn failed(&self) -> u64 {
        self.requests - self.good
    }
}
