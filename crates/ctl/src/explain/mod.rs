//! What became of a request, out of the nodes' logs.
//!
//! [`LogScanner`] reads log lines of any number of nodes and keeps those that
//! concern one request; [`RequestTimeline`] puts them in order and says in words
//! what was decided, and by what.

mod log_scanner;
mod request_timeline;
mod timeline_event;

pub use log_scanner::LogScanner;
pub use request_timeline::RequestTimeline;
pub use timeline_event::TimelineEvent;
