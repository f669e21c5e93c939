//! Log events and metrics about what the local backend server says of itself.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Meter},
};
use slog::{info, warn};

use super::{LimitUsage, RequestRate};
use crate::{
    event_log::EventLog, late_body::EndlessBodyReporter, member::EndpointStart, pace::PaceReporter,
};

/// Metrics of the requests at the local backend server.
#[derive(Debug, Clone)]
pub struct LimitCounters {
    /// Named rate in requests per second; -1 without a limit.
    rate: Gauge<f64>,
    sent: Counter<u64>,
    endless: Counter<u64>,
}

/// Value of the rate's gauge while no limit is named.
const NO_LIMIT: f64 = -1.0;

impl LimitCounters {
    /// Registers the metrics.
    pub fn new(meter: &Meter) -> Self {
        let rate = meter.f64_gauge("geranium_endpoint_rate_limit").build();
        rate.record(NO_LIMIT, &[]);
        Self {
            rate,
            sent: meter.u64_counter("geranium_endpoint_requests").build(),
            endless: meter.u64_counter("geranium_endless_responses").build(),
        }
    }
}

/// Logs and counts what the local backend server says of itself, and what it gets.
#[derive(Debug, Clone)]
pub struct NoticeReporter {
    log: EventLog,
    counters: LimitCounters,
}

impl NoticeReporter {
    /// Creates the reporter of a node.
    pub const fn new(log: EventLog, counters: LimitCounters) -> Self {
        Self { log, counters }
    }

    /// Returns the reporter of the backend server's pace, with the same log.
    pub fn pace_reporter(&self) -> PaceReporter {
        PaceReporter::new(self.log.clone())
    }

    /// Returns the reporter of bodies that the backend server doesn't end, with the same log.
    pub fn endless_body_reporter(&self) -> EndlessBodyReporter {
        EndlessBodyReporter::new(self.log.clone(), self.counters.endless.clone())
    }

    /// Counts a request that is passed on to the backend server.
    pub fn record_sent(&self, is_nested: bool) {
        let kind = if is_nested { "nested" } else { "new" };
        self.counters.sent.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Logs that a start of the backend server names another limit, or none any more.
    pub fn record_change(
        &self,
        start: &EndpointStart,
        before: Option<RequestRate>,
        after: Option<RequestRate>,
    ) {
        let gauge = after.map_or(NO_LIMIT, RequestRate::per_second);
        self.counters.rate.record(gauge, &[]);
        info!(self.log.logger(), "backend server's limit changed";
            "instance" => %start,
            "before_per_s" => before.map(RequestRate::per_second),
            "limit_per_s" => after.map(RequestRate::per_second));
    }

    /// Logs that a start of the local backend server says in its responses that it leaves.
    pub fn record_leaving(&self, start: &EndpointStart) {
        info!(self.log.logger(), "backend server said that it leaves"; "instance" => %start);
    }

    /// Logs a limit that can't be parsed.
    pub fn record_malformed(&self, now: Duration, start: &EndpointStart) {
        if let Some(log) = self.log.for_request(now, "malformed limit") {
            warn!(log, "backend server's limit isn't a rate"; "instance" => %start);
        }
    }

    /// Logs what a backend server with a limit got in `time`.
    pub fn record_usage(&self, limit: RequestRate, usage: &LimitUsage, time: Duration) {
        info!(self.log.logger(), "limited backend server";
            "limit_per_s" => limit.per_second(),
            "time_ms" => time.as_millis() as u64,
            "sent" => usage.sent,
            "nested" => usage.nested,
            "waited" => usage.waited,
            "senders" => usage.sender_count(),
            "most_from_one" => usage.most_from_one_sender());
    }
}
