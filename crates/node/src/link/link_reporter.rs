//! Log events and metrics of the link.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use slog::info;
use strum::VariantArray;

use super::{LinkTraffic, LinkUsage, TransferOutcome, TransferRecord};
use crate::event_log::EventLog;

/// Counters of the link.
#[derive(Debug, Clone)]
pub struct LinkCounters {
    bytes: Counter<u64>,
    long_responses: Counter<u64>,
}

impl LinkCounters {
    /// Registers the counters.
    pub fn new(meter: &Meter) -> Self {
        Self {
            bytes: meter.u64_counter("geranium_link_bytes").build(),
            long_responses: meter.u64_counter("geranium_long_answers").build(),
        }
    }

    fn count_long_responses(&self, outcome: &'static str, count: u32) {
        self.long_responses
            .add(count.into(), &[KeyValue::new("end", outcome)]);
    }
}

/// Logs and counts the use of the link.
#[derive(Debug, Clone)]
pub struct LinkReporter {
    log: EventLog,
    counters: LinkCounters,
}

impl LinkReporter {
    /// Creates the reporter of a node's link.
    pub const fn new(log: EventLog, counters: LinkCounters) -> Self {
        Self { log, counters }
    }

    /// Logs how the transfer of a long response ended.
    pub fn record_transfer_end(&self, now: Duration, transfer: &TransferRecord) {
        let outcome = transfer.outcome();
        if let Some(log) = self.log.for_request(now, "long answer") {
            info!(log, "long answer ended";
                "request" => transfer.request_id.as_ref().and_then(|id| id.to_str().ok()),
                "to" => transfer.reservation_request.receiver.map(|to| to.to_string()),
                "end" => <&'static str>::from(outcome),
                "bytes" => transfer.bytes,
                "bytes_promised" => transfer.reservation_request.bytes,
                "sent" => transfer.sent,
                "target_ms" => transfer.millis_since_request(Some(transfer.reservation_request.target_deadline)),
                "deadline_ms" => transfer.millis_since_request(Some(transfer.reservation_request.ends_at)),
                "made_ms" => transfer.millis_since_request(transfer.response_ready_at),
                "postponed_ms" => transfer.millis_since_request(transfer.postponed_at),
                "begun_ms" => transfer.millis_since_request(transfer.started_at),
                "sent_ms" => transfer.millis_since_request(transfer.last_sent_at),
                "took_ms" => transfer.millis_since_request(Some(now)));
        }
    }

    /// Counts the use of the link, and logs it if long responses were requested.
    pub fn record_usage(&self, usage: &LinkUsage, time: Duration, rate: f64, backlog: Duration) {
        for &traffic in LinkTraffic::VARIANTS {
            let label = KeyValue::new("use", <&'static str>::from(traffic));
            self.counters.bytes.add(usage.bytes(traffic), &[label]);
        }
        for &outcome in TransferOutcome::VARIANTS {
            self.counters
                .count_long_responses(outcome.into(), usage.outcome_count(outcome));
        }
        self.counters.count_long_responses("refused", usage.refused);
        if usage.reserved + usage.refused == 0 {
            return;
        }
        let full = rate * time.as_secs_f64();
        info!(self.log.logger(), "link carried";
            "time_ms" => time.as_millis() as u64,
            "used_percent" => (usage.total_bytes() as f64 / full * 100.0).round() as u64,
            "long_away" => usage.bytes(LinkTraffic::LongAway),
            "short" => usage.bytes(LinkTraffic::Short),
            "overhead" => usage.bytes(LinkTraffic::Overhead),
            "refusals" => usage.bytes(LinkTraffic::Refusal),
            "requests" => usage.bytes(LinkTraffic::Request),
            "promised" => usage.reserved,
            "refused" => usage.refused,
            "in_time" => usage.outcome_count(TransferOutcome::InTime),
            "late" => usage.outcome_count(TransferOutcome::Late),
            "cut" => usage.outcome_count(TransferOutcome::Cut),
            "unmade" => usage.outcome_count(TransferOutcome::Unmade),
            "backlog_ms" => backlog.as_millis() as u64);
    }
}
