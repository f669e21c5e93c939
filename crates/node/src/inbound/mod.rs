//! The only way in to the backend server beside this node.
//!
//! Whether it lives, which start of it, whether it is leaving and what it has
//! room for are decided here with certainty, whatever other nodes still
//! believe. [`EndpointTracker`] holds the first three, [`AdmissionQueue`] the last,
//! and [`EndpointBreaker`] whether runs end at all; none does I/O. [`InboundProxy`] joins
//! them to the connections.

mod admission_queue;
mod crash_admission;
mod endpoint_breaker;
mod endpoint_call;
mod endpoint_confirm;
mod endpoint_health;
mod endpoint_report;
mod endpoint_tracker;
mod inbound_proxy;
mod inbound_refusal;
mod inbound_request;
mod link_admission;
mod nested_call_detector;
mod route_statistics;
mod run_slot;
mod slot_wait;

pub use admission_queue::{AdmissionDecision, AdmissionQueue, AdmissionRequest, QueueKey};
pub use endpoint_breaker::EndpointBreaker;
pub use endpoint_confirm::confirm_endpoint;
pub use endpoint_health::HealthCheckResponse;
pub use endpoint_report::{EndpointReport, ReportState};
pub use endpoint_tracker::{EndpointTracker, LocalEndpoint, ReportOutcome};
pub use inbound_proxy::{InboundError, InboundProxy, InboundSettings};
pub use inbound_refusal::{InboundRefusal, RefusalReason};
pub use inbound_request::InboundRequest;
pub use nested_call_detector::NestedCallDetector;
pub use run_slot::RunSlot;
