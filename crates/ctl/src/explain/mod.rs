//! What became of a request, out of the nodes' logs.
//!
//! [`LogScan`] reads log lines of any number of nodes and keeps those that
//! concern one request; [`RequestStory`] puts them in order and says in words
//! what was decided, and by what.

mod log_scan;
mod request_story;
mod story_event;

pub use log_scan::LogScan;
pub use request_story::RequestStory;
pub use story_event::StoryEvent;
