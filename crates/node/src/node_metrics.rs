//! Counters, gauges and latency histograms by `OpenTelemetry`.

use std::{error::Error, time::Duration};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    config::RequestKind, link::LinkCounters, node_clock::NodeClock, node_settings::NodeSettings,
    pace::PaceGauges, quota::QuotaCounters, rate_limit::LimitCounters, result_code::ResultCode,
};

/// Bounds of the latency histogram in seconds: from a round trip between data
/// centres to the longest deadlines.
const LATENCY_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0,
];

/// Outcome of a request, as objectives of its service count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestResult {
    /// The response was good and within the route's target latency.
    Good,
    /// The response was good and later than the route's target latency.
    Slow,
    /// The request got no good response.
    Failed,
    /// The request was rejected with a 4xx status before any try: it has no route, or its
    /// body is malformed, late or too large.
    CallerFault,
}

/// Request that got its final response, with the labels under which it is counted.
#[derive(Debug, Clone, Copy)]
pub struct RequestCount<'a> {
    /// Service of the route; empty when the request was rejected before any try.
    pub service: &'a str,
    /// Kind of the route's requests; none when the request was rejected before any try.
    pub kind: Option<RequestKind>,
    /// Reason of a reply of this node itself; `Ok` for a backend server's response.
    pub code: ResultCode,
    /// Outcome for the service's objectives.
    pub result: RequestResult,
    /// Time from the request's arrival to the response's head.
    pub took: Duration,
}

/// Metrics of a node.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    // Dropping the provider would unregister its reader and end the metrics.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    account_requests: Counter<u64>,
    latency: Histogram<f64>,
    tries_failed: Counter<u64>,
    store_calls: Counter<u64>,
    configs_refused: Counter<u64>,
    config_version: Gauge<u64>,
    members: Gauge<u64>,
    queue: Gauge<u64>,
    proof_age: Gauge<f64>,
    link: LinkCounters,
    limit: LimitCounters,
    pace: PaceGauges,
    quota: Option<QuotaCounters>,
}

impl NodeMetrics {
    /// Registers every metric of a node.
    ///
    /// # Errors
    ///
    /// Returns an error when the exporter can't be registered.
    pub fn new(settings: &NodeSettings) -> Result<Self, Box<dyn Error>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("geranium");
        let labels = [
            KeyValue::new("instance", settings.instance.clone()),
            KeyValue::new("data_centre", settings.data_centre.clone()),
            KeyValue::new("service", settings.service.clone()),
        ];
        meter
            .u64_gauge("geranium_node_info")
            .build()
            .record(1, &labels);
        // The start time is on the same page as the counters, so that a reader can't
        // mistake the counters of one process for those of the next.
        meter
            .u64_gauge("geranium_node_started")
            .build()
            .record(NodeClock::unix_ms(), &[]);
        Ok(Self {
            registry,
            requests: meter.u64_counter("geranium_requests").build(),
            account_requests: meter.u64_counter("geranium_account_requests").build(),
            latency: meter
                .f64_histogram("geranium_request_seconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            tries_failed: meter.u64_counter("geranium_tries_failed").build(),
            store_calls: meter.u64_counter("geranium_store_calls").build(),
            configs_refused: meter.u64_counter("geranium_configs_refused").build(),
            config_version: meter.u64_gauge("geranium_config_version").build(),
            members: meter.u64_gauge("geranium_members").build(),
            queue: meter.u64_gauge("geranium_queue").build(),
            proof_age: meter.f64_gauge("geranium_proof_age_seconds").build(),
            link: LinkCounters::new(&meter),
            limit: LimitCounters::new(&meter),
            pace: PaceGauges::new(&meter),
            quota: settings
                .accounts
                .and_then(|accounts| accounts.quota)
                .map(|_| QuotaCounters::new(&meter)),
            _provider: provider,
        })
    }

    /// Counts a request that got its final response.
    pub fn record_request(&self, count: RequestCount<'_>) {
        let service = KeyValue::new("service", count.service.to_owned());
        let kind = KeyValue::new("kind", count.kind.map_or("none", Into::into));
        let code: &'static str = count.code.into();
        let result: &'static str = count.result.into();
        if matches!(count.result, RequestResult::Good | RequestResult::Slow) {
            let labels = [service.clone(), kind.clone()];
            self.latency.record(count.took.as_secs_f64(), &labels);
        }
        let labels = [
            service,
            kind,
            KeyValue::new("code", code),
            KeyValue::new("result", result),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts a request of a client account by its result.
    pub fn record_account_request(&self, account: &str, result: &'static str) {
        let labels = [
            KeyValue::new("account", account.to_owned()),
            KeyValue::new("result", result),
        ];
        self.account_requests.add(1, &labels);
    }

    /// Counts a failed try by its reason.
    pub fn record_failed_try(&self, reason: &'static str) {
        self.tries_failed.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a call to the store by its kind.
    pub fn record_store_call(&self, kind: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a stored configuration that was refused.
    pub fn record_refused_config(&self) {
        self.configs_refused.add(1, &[]);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Sets the number of known members.
    pub fn set_members(&self, count: usize) {
        self.members.record(count as u64, &[]);
    }

    /// Sets the number of running or waiting requests at the inbound proxy.
    pub fn set_queue(&self, figure: &'static str, value: u32) {
        let labels = [KeyValue::new("figure", figure)];
        self.queue.record(value.into(), &labels);
    }

    /// Sets the age of the proof that the configuration is fresh.
    pub fn set_proof_age(&self, age: Duration) {
        self.proof_age.record(age.as_secs_f64(), &[]);
    }

    /// Returns the counters of bytes sent over the instance's link.
    pub fn link(&self) -> LinkCounters {
        self.link.clone()
    }

    /// Returns the metrics of the requests at the local backend server.
    pub fn limit(&self) -> LimitCounters {
        self.limit.clone()
    }

    /// Returns the metrics of the local backend server's pace.
    pub const fn pace(&self) -> &PaceGauges {
        &self.pace
    }

    /// Returns the metrics of quotas; none where the settings have no quota window.
    pub fn quota(&self) -> Option<QuotaCounters> {
        self.quota.clone()
    }

    /// Writes every metric in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn text(&self) -> prometheus::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
