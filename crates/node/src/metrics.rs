//! Counters and timings by `OpenTelemetry`, shown in Prometheus' text format.

use std::time::Duration;

use geranium_model::{Incarnation, Outcome, RequestClass, ResultCode, ServiceName};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the latency histogram in seconds. Objectives lie between a few
/// milliseconds (prices at the till) and minutes (archives).
const LATENCY_BOUNDS: [f64; 18] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
    120.0, 600.0,
];

/// A node's metrics.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    // Keeps the reader registered for as long as metrics are asked for.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    control_messages: Counter<u64>,
    control_bytes: Counter<u64>,
    platform_calls: Counter<u64>,
    connection_faults: Counter<u64>,
    gate: Gauge<u64>,
    version: Gauge<u64>,
}

/// Direction of a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum MessageDirection {
    /// From another node.
    In,
    /// To another node.
    Out,
}

impl NodeMetrics {
    /// Registers every metric.
    ///
    /// # Errors
    ///
    /// When the exporter refuses its registry.
    pub fn new(
        instance: &str,
        data_centre: &str,
        started: Incarnation,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("geranium");
        let version = meter.u64_gauge("geranium_preset_version").build();
        let info = meter.u64_gauge("geranium_node_info").build();
        info.record(
            1,
            &[
                KeyValue::new("instance", instance.to_owned()),
                KeyValue::new("data_centre", data_centre.to_owned()),
            ],
        );
        // On the same page as the counters, so that a reader can't take the
        // counters of one process for those of the next.
        meter
            .u64_gauge("geranium_node_started")
            .build()
            .record(started.get(), &[]);
        Ok(Self {
            registry,
            requests: meter.u64_counter("geranium_requests").build(),
            latency: meter
                .f64_histogram("geranium_request_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            attempts: meter.u64_counter("geranium_attempts").build(),
            retries: meter.u64_counter("geranium_retries").build(),
            control_messages: meter.u64_counter("geranium_control_messages").build(),
            control_bytes: meter.u64_counter("geranium_control_bytes").build(),
            platform_calls: meter.u64_counter("geranium_platform_calls").build(),
            connection_faults: meter.u64_counter("geranium_connection_faults").build(),
            gate: meter.u64_gauge("geranium_gate").build(),
            version,
            _provider: provider,
        })
    }

    /// Counts a caller's request that got its final answer.
    pub fn request(
        &self,
        service: &ServiceName,
        class: RequestClass,
        code: ResultCode,
        outcome: Outcome,
        status: u16,
        latency: Duration,
    ) {
        let service = KeyValue::new("service", service.to_string());
        let class: &'static str = class.into();
        let outcome: &'static str = outcome.into();
        let labels = [
            service.clone(),
            KeyValue::new("class", class),
            KeyValue::new("code", i64::from(code.number())),
            KeyValue::new("outcome", outcome),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
        if outcome == <&'static str>::from(Outcome::Ran) {
            let labels = [service, KeyValue::new("class", class)];
            self.latency.record(latency.as_secs_f64(), &labels);
        }
    }

    /// Counts a try at a backend server.
    pub fn attempt(&self, is_retry: bool) {
        self.attempts.add(1, &[]);
        if is_retry {
            self.retries.add(1, &[]);
        }
    }

    /// Counts control messages and their bytes.
    pub fn control(&self, direction: MessageDirection, bytes: usize) {
        let label: &'static str = direction.into();
        let labels = [KeyValue::new("direction", label)];
        self.control_messages.add(1, &labels);
        self.control_bytes.add(bytes as u64, &labels);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self, kind: &'static str, good: bool) {
        self.platform_calls.add(
            1,
            &[KeyValue::new("kind", kind), KeyValue::new("good", good)],
        );
    }

    /// Counts a caller's connection that ended by a fault of the caller.
    pub fn connection_fault(&self, code: ResultCode) {
        self.connection_faults
            .add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Shows a figure of the guard.
    pub fn gate(&self, figure: &'static str, value: u64) {
        self.gate.record(value, &[KeyValue::new("figure", figure)]);
    }

    /// Shows the version in force.
    pub fn version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Writes every metric in Prometheus' text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if encoded.is_err() {
            text.clear();
        }
        text
    }
}
