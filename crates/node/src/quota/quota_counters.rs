//! Metrics of quotas.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter},
};

use super::ShardId;

/// Metrics of quotas. No label depends on the accounts, so that their number is bounded.
#[derive(Debug, Clone)]
pub struct QuotaCounters {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    calls: Counter<u64>,
    owned: Gauge<u64>,
}

impl QuotaCounters {
    /// Registers the metrics.
    pub fn new(meter: &Meter) -> Self {
        Self {
            requests: meter.u64_counter("geranium_quota_requests").build(),
            tokens: meter.u64_counter("geranium_quota_tokens").build(),
            calls: meter.u64_counter("geranium_quota_calls").build(),
            owned: meter.u64_gauge("geranium_quota_shard_owned").build(),
        }
    }

    /// Counts a request of an account with a quota by its result.
    pub(super) fn record_request(&self, result: &'static str) {
        self.requests.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts tokens that this node granted, or questions that it refused, as an owner.
    pub(super) fn record_tokens(&self, result: &'static str, count: u64) {
        self.tokens.add(count, &[KeyValue::new("result", result)]);
    }

    /// Counts a call to an owner by its result.
    pub(super) fn record_call(&self, result: &'static str) {
        self.calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Sets whether this node owns a shard.
    pub(super) fn set_owned(&self, shard: ShardId, is_owned: bool) {
        let labels = [KeyValue::new("shard", i64::from(shard.number()))];
        self.owned.record(u64::from(is_owned), &labels);
    }
}
