//! What a node lets through to its own backend server.
//!
//! [`AdmissionGate`] is the whole of it: the node offers each request as a
//! [`JobOffer`], reports how each run ended, and asks [`AdmissionGate::poll`]
//! which jobs to run and which to refuse. Its parts can be read one by one:
//!
//! - `fair_lane` orders what waits, by start-time fair queueing over callers
//!   and keys, whose holdings `share_ledger` counts;
//! - `service_estimate` and `drain_meter` say how long a job runs and how fast
//!   the queue moves, from which hopeless jobs and Retry-After follow;
//! - `slot_limit` lowers the number of slots in use while the backend server
//!   slows, against the usual times in `service_baseline`.

mod admission_error;
mod admission_settings;
mod drain_meter;
mod fair_lane;
mod gate;
mod gate_decision;
mod gate_gauge;
mod job_arena;
mod job_cancel;
mod job_lane;
mod job_offer;
mod job_report;
mod limit_window;
mod name_hasher;
mod service_baseline;
mod service_estimate;
mod share_ledger;
mod slot_limit;

use geranium_model::RequestClass;
use strum::VariantArray;

pub use admission_error::AdmissionError;
pub use admission_settings::{AdmissionInput, AdmissionSettings};
pub use gate::AdmissionGate;
pub use gate_decision::{GateDecision, JobRefusal};
pub use gate_gauge::GateGauge;
pub use job_cancel::JobCancel;
pub use job_offer::{JobId, JobOffer};
pub use job_report::{JobEnd, JobReport};

/// How many classes of requests there are.
const CLASSES: usize = <RequestClass as VariantArray>::VARIANTS.len();
