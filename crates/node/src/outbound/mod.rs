//! Requests of callers on this machine, from arrival to answer.
//!
//! [`OutboundProxy`] reads a request, finds its route, sends it to the inbound proxy of a
//! picked backend server and decides what to do when that fails. What it
//! decides by is in the modules without I/O: routes in
//! [`config`](crate::config), the choice in [`member`](crate::member), further
//! tries in [`retry`](crate::retry).

mod caller_input;
mod deadline_tracker;
mod failed_try;
mod in_flight_guard;
mod local_reply;
mod outbound_proxy;
mod outbound_request;
mod resend_tracker;
mod try_flow;
mod try_record;
mod try_sender;

pub use deadline_tracker::DeadlineTracker;
pub use in_flight_guard::InFlightGuard;
pub use local_reply::LocalReply;
pub use outbound_proxy::OutboundProxy;
pub use outbound_request::OutboundRequest;
pub use resend_tracker::ResendTracker;
pub use try_sender::{TryFailure, TryResult, TrySender};
