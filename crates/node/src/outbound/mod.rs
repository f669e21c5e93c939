//! Proxy for the requests of callers on this machine.
//!
//! [`OutboundProxy`] reads a request, finds its route, sends it to the inbound proxy of a
//! picked member and decides what to do when that fails. Modules without I/O make the
//! decisions: routing in [`config`](crate::config), load balancing in
//! [`member`](crate::member), and the retry budget in [`retry`](crate::retry).
//!
//! A *try* sends the request to one member. An *attempt* is one request of the caller,
//! which may make several. Despite its name, a route's `attempts` limits the tries that
//! reach a backend server for one attempt.

mod admission_query;
mod body_start;
mod caller_admission;
mod caller_input;
mod deadline_tracker;
mod failed_try;
mod in_flight_guard;
mod local_reply;
mod outbound_proxy;
mod outbound_request;
mod peers_in_use;
mod resend_tracker;
mod standstill_bound;
mod try_flow;
mod try_record;
mod try_sender;

pub use admission_query::ADMISSION_PATH;
pub(crate) use caller_input::RETRY_AFTER_MEMORY_FULL;
pub use deadline_tracker::DeadlineTracker;
pub use in_flight_guard::InFlightGuard;
pub use local_reply::LocalReply;
pub(crate) use local_reply::RETRY_AFTER_KEY_UNPROVEN;
pub use outbound_proxy::OutboundProxy;
pub use outbound_request::OutboundRequest;
pub use peers_in_use::PeersInUse;
pub use resend_tracker::ResendTracker;
pub(crate) use standstill_bound::StandstillBound;
pub use try_sender::{TryFailure, TryResult, TrySender};
