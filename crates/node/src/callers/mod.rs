//! The callers' port: HTTP in, a backend server picked, the answer out.
//!
//! One thread runs a single-threaded executor. It owns the picker, the retry
//! budgets and the preset it routes by, so decisions need no lock. `hyper`
//! reads the requests instead of `tiny_http`, which holds a thread for each
//! slow connection and ends a broken body as if it were whole.

mod attempt;
mod body_budget;
mod caller_answer;
mod caller_body;
mod caller_request;
mod callers_port;
mod front_event;
mod front_state;
mod part_body;
mod request_flow;
mod stream_fetch;
mod ticket_flow;
mod try_end;

pub use callers_port::{CallersParts, CallersPort};
pub use front_event::FrontEvent;
pub use front_state::FrontState;
