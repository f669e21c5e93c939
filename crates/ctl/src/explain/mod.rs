//! Timeline of a request, from the nodes' logs.
//!
//! [`LogScanner`] reads log lines of any number of nodes and keeps those about one
//! request. [`RequestTimeline`] holds their events in order, each described in a sentence with the
//! values of its fields.

mod log_scanner;
mod request_timeline;
mod timeline_event;

pub use log_scanner::LogScanner;
pub use request_timeline::RequestTimeline;
pub use timeline_event::TimelineEvent;
