//! Inbound proxy in front of the backend server beside this node.
//!
//! The inbound proxy decides authoritatively whether the backend server is alive, which start of
//! it runs, whether it is leaving and whether it has capacity, whatever other nodes still believe.
//! [`EndpointTracker`] tracks the start and its state, [`AdmissionQueue`] the capacity, and
//! [`EndpointBreaker`] whether runs complete at all. None of these does I/O; [`InboundProxy`]
//! combines them with the connections to the backend server.

mod admission_preview;
mod crash_admission;
mod current_start;
mod ended_starts;
mod endless_response;
mod endpoint_breaker;
mod endpoint_call;
mod endpoint_confirm;
mod endpoint_health;
mod endpoint_limit;
mod endpoint_pace;
mod endpoint_report;
mod endpoint_tracker;
mod inbound_proxy;
mod inbound_refusal;
mod inbound_request;
mod link_admission;
mod nested_call_detector;
mod rollout_admission;
mod run_slot;
mod slot_wait;

pub use crate::admission::{
    AdmissionDecision, AdmissionQueue, AdmissionRequest, DisplacedRequest, QueueKey,
};
pub use current_start::CurrentStart;
pub use endpoint_breaker::EndpointBreaker;
pub use endpoint_confirm::confirm_endpoint;
pub use endpoint_health::HealthCheckResponse;
pub use endpoint_report::{EndpointReport, ReportState};
pub use endpoint_tracker::{EndpointTracker, ReportOutcome};
pub use inbound_proxy::{InboundError, InboundProxy, InboundSettings};
pub use inbound_refusal::{InboundRefusal, RefusalReason};
pub use inbound_request::InboundRequest;
pub use nested_call_detector::NestedCallDetector;
pub use run_slot::RunSlot;
