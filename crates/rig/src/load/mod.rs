//! Load of callers, and records of their requests.

mod call_record;
mod call_sender;
mod caller_load;

pub use call_record::{CallKind, CallOutcome, CallRecord};
pub use call_sender::CallSender;
pub use caller_load::{CallerLoad, LoadPlan};
