//! Log events and metrics about the load that the local backend server reports.

use std::time::Duration;

use opentelemetry::metrics::{Gauge, Meter};
use slog::{info, warn};

use super::{PaceChange, PaceRatio};
use crate::{event_log::EventLog, member::EndpointStart};

/// Metrics of the pace that the local backend server reports.
#[derive(Debug, Clone)]
pub struct PaceGauges {
    /// Pace in percent.
    pace: Gauge<f64>,
    /// Age of the pace in seconds.
    age: Gauge<f64>,
}

impl PaceGauges {
    /// Registers the metrics.
    pub fn new(meter: &Meter) -> Self {
        Self {
            pace: meter.f64_gauge("geranium_endpoint_pace_percent").build(),
            age: meter
                .f64_gauge("geranium_endpoint_pace_age_seconds")
                .build(),
        }
    }

    /// Sets the metrics. Nothing is shown before the first pace is reported.
    pub fn record(&self, pace: Option<(PaceRatio, Duration)>) {
        if let Some((pace, age)) = pace {
            self.pace.record(pace.percent().into(), &[]);
            self.age.record(age.as_secs_f64(), &[]);
        }
    }
}

/// Logs what the local backend server reports of its load.
#[derive(Debug, Clone)]
pub struct PaceReporter {
    log: EventLog,
}

impl PaceReporter {
    /// Creates the reporter of a node.
    pub const fn new(log: EventLog) -> Self {
        Self { log }
    }

    /// Logs that a start of the backend server became slow or is well again.
    pub fn record_change(&self, start: &EndpointStart, change: PaceChange, pace: PaceRatio) {
        let text = if change.is_slow {
            "backend server became slow"
        } else {
            "backend server is at its usual pace"
        };
        info!(self.log.logger(), "{}", text;
            "instance" => %start,
            "pace_percent" => pace.percent(),
            "slow_times" => change.slow_times);
    }

    /// Logs a load that can't be parsed.
    pub fn record_malformed(&self, start: &EndpointStart) {
        warn!(self.log.logger(), "backend server's load can't be parsed"; "instance" => %start);
    }
}
