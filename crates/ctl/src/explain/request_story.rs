//! What became of a request.

use std::fmt;

use serde::Serialize;

use super::StoryEvent;

/// What became of a request, in order, over all nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestStory {
    /// Identifier of the request.
    pub request: String,
    /// Decisions in order.
    pub events: Vec<StoryEvent>,
    /// Lines that the nodes dropped or withheld under load.
    pub dropped_lines: u64,
    /// Lines that aren't of the expected shape.
    pub unreadable_lines: u64,
}

impl fmt::Display for RequestStory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for event in &self.events {
            writeln!(f, "{} {}: {}", event.time, event.node, event.text)?;
            if let Some(belief) = &event.belief {
                writeln!(f, "    last heard there, {belief}")?;
            }
        }
        if self.dropped_lines > 0 {
            writeln!(
                f,
                "{} lines were dropped or withheld under load; more may have happened",
                self.dropped_lines
            )?;
        }
        Ok(())
    }
}
