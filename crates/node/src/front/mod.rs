//! Requests of callers on this machine, from arrival to answer.
//!
//! [`FrontFlow`] reads a request, finds its route, sends it to the door of a
//! picked backend server and decides what to do when that fails. What it
//! decides by is in the modules without I/O: routes in
//! [`config`](crate::config), the choice in [`member`](crate::member), further
//! tries in [`retry`](crate::retry).

mod attempt;
mod caller_input;
mod deadline_book;
mod failed_try;
mod front_answer;
mod front_flow;
mod front_request;
mod return_book;
mod sent_mark;
mod try_flow;
mod try_record;

pub use attempt::{AttemptFlow, TryFailure, TryResult};
pub use deadline_book::DeadlineBook;
pub use front_answer::FrontAnswer;
pub use front_flow::FrontFlow;
pub use front_request::FrontRequest;
pub use return_book::ReturnBook;
pub use sent_mark::SentMark;
