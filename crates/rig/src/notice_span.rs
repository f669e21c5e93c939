//! What backend servers said of themselves in their responses, and when.

use std::time::Instant;

/// What a backend server says of itself in its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoticeKind {
    /// It takes this many requests per second from all nodes together.
    Limit(f64),
    /// It is leaving.
    Leaving,
}

/// Time in which one start of a backend server said something of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct NoticeSpan {
    /// Identifier of the backend server.
    pub instance: String,
    /// Start time of the backend server, in Unix milliseconds.
    pub born_ms: u64,
    /// What it said.
    pub kind: NoticeKind,
    /// When it began to say so.
    pub from: Instant,
    /// When it stopped saying so.
    pub to: Instant,
}

impl NoticeSpan {
    /// Whether the notice belongs to the given start of a backend server.
    pub fn is_of(&self, instance: &str, born_ms: u64) -> bool {
        self.instance == instance && self.born_ms == born_ms
    }
}
