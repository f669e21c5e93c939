//! The only way in to the backend server beside this node.
//!
//! Whether it lives, which start of it, whether it is leaving and what it has
//! room for are decided here with certainty, whatever other nodes still
//! believe. [`EndpointGate`] holds the first three, [`DoorQueue`] the last,
//! and [`EndpointBreaker`] whether runs end at all; none does I/O. [`DoorFlow`] joins
//! them to the connections.

mod call_book;
mod class_books;
mod crash_admission;
mod door_flow;
mod door_queue;
mod door_refusal;
mod door_request;
mod endpoint_breaker;
mod endpoint_call;
mod endpoint_confirm;
mod endpoint_gate;
mod endpoint_health;
mod endpoint_report;
mod link_admission;
mod run_slot;
mod slot_wait;

pub use call_book::CallBook;
pub use door_flow::{DoorError, DoorFlow, DoorSettings};
pub use door_queue::{DoorQueue, JobKey, JobOffer, OfferVerdict};
pub use door_refusal::{DoorRefusal, RefusalReason};
pub use door_request::DoorRequest;
pub use endpoint_breaker::EndpointBreaker;
pub use endpoint_confirm::confirm_endpoint;
pub use endpoint_gate::{EndpointGate, LocalEndpoint, ReportVerdict};
pub use endpoint_health::HealthAnswer;
pub use endpoint_report::{EndpointReport, ReportState};
pub use run_slot::RunSlot;
