//! What became of a request.

use std::fmt;

use serde::Serialize;

use super::TimelineEvent;

/// What became of a request, in order, over all nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// Identifier of the request.
    pub request: String,
    /// Decisions in order.
    pub events: Vec<TimelineEvent>,
    /// Lines that the nodes dropped or withheld under load.
    pub dropped_lines: u64,
    /// Lines that aren't of the expected shape.
    pub unreadable_lines: u64,
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for event in &self.events {
            writeln!(f, "{} {}: {}", event.time, event.node, event.text)?;
            if let Some(member_report) = &event.member_report {
                writeln!(f, "    last heard there, {member_report}")?;
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
