//! What the instance's link carries, and in which order.
//!
//! [`LinkSchedule`] decides, without I/O, which long answers are begun and
//! whose bytes go next. [`LinkScheduler`] shares it among the answers under way;
//! each long one holds a [`LinkReservation`] and waits for its turns there. What became
//! of each stands in its [`TransferRecord`], what the link carried in a [`LinkUsage`];
//! [`LinkReporter`] logs and counts both.

mod link_reporter;
mod link_reservation;
mod link_schedule;
mod link_scheduler;
mod link_traffic;
mod link_usage;
mod transfer_record;

pub use link_reporter::{LinkCounters, LinkReporter};
pub use link_reservation::LinkReservation;
pub use link_schedule::{LinkDecision, LinkRequest, LinkSchedule, LinkTurn, TransferKey};
pub use link_scheduler::LinkScheduler;
pub use link_traffic::LinkTraffic;
pub use link_usage::LinkUsage;
pub use transfer_record::{TransferOutcome, TransferRecord};
