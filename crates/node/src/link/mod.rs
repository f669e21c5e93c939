//! Scheduling of what the instance's network link transmits.
//!
//! [`LinkSchedule`] decides, without I/O, which long responses are started and whose bytes are
//! sent next. [`LinkScheduler`] shares it among the responses in progress. Each long response
//! holds a [`LinkReservation`] and waits for its turns there. [`TransferRecord`] records one
//! transfer, and [`LinkUsage`] what the link transmitted; [`LinkReporter`] logs and counts both.

mod link_reporter;
mod link_reservation;
mod link_schedule;
mod link_scheduler;
mod link_traffic;
mod link_usage;
mod receiver_ends;
mod transfer_record;

pub use link_reporter::{LinkCounters, LinkReporter};
pub use link_reservation::LinkReservation;
pub use link_schedule::{LinkDecision, LinkSchedule, LinkTurn, ReservationRequest, TransferKey};
pub use link_scheduler::LinkScheduler;
pub use link_traffic::LinkTraffic;
pub use link_usage::LinkUsage;
pub use receiver_ends::ReceiverEnds;
pub use transfer_record::{TransferOutcome, TransferRecord};
