//! Counters and latency histograms.

use std::time::Duration;

use geranium_model::ResultCode;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::config::RequestKind;

/// Bounds of the latency histograms in seconds: from a round trip between data
/// centres to the longest deadlines.
const LATENCY_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0,
];

/// A node's metrics.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    store_calls: IntCounterVec,
    latency: HistogramVec,
    /// Version of the configuration in force.
    pub config_version: ConfigGauge,
}

/// Gauge of a configuration's version.
#[derive(Debug)]
pub struct ConfigGauge(IntGauge);

impl ConfigGauge {
    /// Shows a version.
    pub fn set(&self, version: u64) {
        self.0.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

impl Default for NodeMetrics {
    /// Registers every metric.
    ///
    /// # Panics
    ///
    /// Panics when a name or label is malformed, which is a bug.
    fn default() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label]);
            let counter = counter.expect("the name is well-formed");
            let registered = registry.register(Box::new(counter.clone()));
            registered.expect("the name is unique");
            counter
        };
        let opts = HistogramOpts::new("geranium_request_seconds", "Time to the answer's head.");
        let opts = opts.buckets(LATENCY_BOUNDS.to_vec());
        let latency = HistogramVec::new(opts, &["kind"]).expect("the name is well-formed");
        registry
            .register(Box::new(latency.clone()))
            .expect("the name is unique");
        let version = IntGauge::new("geranium_config_version", "Configuration in force.");
        let version = version.expect("the name is well-formed");
        registry
            .register(Box::new(version.clone()))
            .expect("the name is unique");
        Self {
            answers: counter(
                "geranium_answers_total",
                "Answers by this node's own code.",
                "code",
            ),
            refusals: counter(
                "geranium_tries_failed_total",
                "Failed tries by reason.",
                "reason",
            ),
            store_calls: counter("geranium_store_calls_total", "Calls to the store.", "kind"),
            latency,
            config_version: ConfigGauge(version),
            registry,
        }
    }
}

impl NodeMetrics {
    /// Counts a request that got a backend server's answer.
    pub fn served(&self, kind: RequestKind, took: Duration) {
        let code: &'static str = ResultCode::Ok.into();
        self.answers.with_label_values(&[code]).inc();
        self.histogram(kind).observe(took.as_secs_f64());
    }

    /// Counts a request that got an answer of this node's own.
    pub fn answered(&self, code: ResultCode) {
        let code: &'static str = code.into();
        self.answers.with_label_values(&[code]).inc();
    }

    /// Counts a failed try.
    pub fn refused(&self, reason: &'static str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str) {
        self.store_calls.with_label_values(&[kind]).inc();
    }

    /// Writes every metric in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// When the encoder refuses a metric.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }

    fn histogram(&self, kind: RequestKind) -> Histogram {
        let kind: &'static str = kind.into();
        self.latency.with_label_values(&[kind])
    }
}
