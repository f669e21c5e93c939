//! Order of admission to the backend server beside this node.
//!
//! [`AdmissionQueue`] decides which requests run, wait or are refused, and in which order those that
//! wait begin. It estimates waits from the run times, served shares and waits of each route. Nothing
//! here does I/O, and the time is an argument; the [`inbound`](crate::inbound) proxy asks it about
//! each request.

mod admission_decision;
mod admission_queue;
mod admission_request;
mod displaced_request;
mod displacement;
mod fair_flow;
mod fair_schedule;
mod limited_starts;
mod paced_queue;
mod queue_key;
mod queue_preview;
mod queued_request;
mod rank_turns;
mod refused_attempts;
mod route_statistics;
mod wait_plan;

pub use admission_decision::AdmissionDecision;
pub use admission_queue::AdmissionQueue;
pub use admission_request::AdmissionRequest;
pub use displaced_request::DisplacedRequest;
pub use queue_key::QueueKey;

use fair_flow::{FairFlow, FlowRequest};
