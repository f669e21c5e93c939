//! What is logged and counted of the link.

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
    answers: Counter<u64>,
}

impl LinkCounters {
    /// Registers them.
    pub fn new(meter: &Meter) -> Self {
        Self {
            bytes: meter.u64_counter("geranium_link_bytes").build(),
            answers: meter.u64_counter("geranium_long_answers").build(),
        }
    }

    fn answer(&self, end: &'static str, count: u32) {
        self.answers.add(count.into(), &[KeyValue::new("end", end)]);
    }
}

/// Logs and counts what the link carries.
#[derive(Debug, Clone)]
pub struct LinkReporter {
    log: EventLog,
    counters: LinkCounters,
}

impl LinkReporter {
    /// Makes the notes of a node's link.
    pub const fn new(log: EventLog, counters: LinkCounters) -> Self {
        Self { log, counters }
    }

    /// Records what became of a long answer.
    pub fn ended(&self, now: Duration, transfer: &TransferRecord) {
        let end = transfer.end();
        if let Some(log) = self.log.for_request(now, "long answer") {
            info!(log, "long answer ended";
                "request" => transfer.request.as_ref().and_then(|id| id.to_str().ok()),
                "end" => <&'static str>::from(end),
                "bytes" => transfer.bytes,
                "bytes_promised" => transfer.offer.bytes,
                "sent" => transfer.sent,
                "target_ms" => transfer.millis(Some(transfer.offer.target_deadline)),
                "deadline_ms" => transfer.millis(Some(transfer.offer.ends_at)),
                "made_ms" => transfer.millis(transfer.made_at),
                "postponed_ms" => transfer.millis(transfer.postponed_at),
                "begun_ms" => transfer.millis(transfer.begun_at),
                "sent_ms" => transfer.millis(transfer.sent_at),
                "took_ms" => transfer.millis(Some(now)));
        }
    }

    /// Counts what the link carried, and logs it when it was asked for long answers.
    pub fn carried(&self, load: &LinkUsage, time: Duration, rate: f64, backlog: Duration) {
        for &purpose in LinkTraffic::VARIANTS {
            let label = KeyValue::new("use", <&'static str>::from(purpose));
            self.counters.bytes.add(load.bytes(purpose), &[label]);
        }
        for &end in TransferOutcome::VARIANTS {
            self.counters.answer(end.into(), load.ends(end));
        }
        self.counters.answer("refused", load.refused);
        if load.promised + load.refused == 0 {
            return;
        }
        let full = rate * time.as_secs_f64();
        info!(self.log.logger(), "link carried";
            "time_ms" => time.as_millis() as u64,
            "used_percent" => (load.all_bytes() as f64 / full * 100.0).round() as u64,
            "long_away" => load.bytes(LinkTraffic::LongAway),
            "short" => load.bytes(LinkTraffic::Short),
            "overhead" => load.bytes(LinkTraffic::Overhead),
            "refusals" => load.bytes(LinkTraffic::Refusal),
            "requests" => load.bytes(LinkTraffic::Request),
            "promised" => load.promised,
            "refused" => load.refused,
            "in_time" => load.ends(TransferOutcome::InTime),
            "late" => load.ends(TransferOutcome::Late),
            "cut" => load.ends(TransferOutcome::Cut),
            "unmade" => load.ends(TransferOutcome::Unmade),
            "backlog_ms" => backlog.as_millis() as u64);
    }
}
