//! Timeline of a request across nodes.

use std::fmt;

use serde::Serialize;

use super::TimelineEvent;

/// Logged decisions about one request, over all nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// Identifier of the request.
    pub request: String,
    /// Decisions, in order of their time.
    pub events: Vec<TimelineEvent>,
    /// Number of lines that the nodes dropped or withheld under load.
    pub dropped_lines: u64,
    /// Number of lines that couldn't be parsed.
    pub unreadable_lines: u64,
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for event in &self.events {
            writeln!(f, "{} {}: {}", event.time, event.node, event.text)?;
            if let Some(member_report) = &event.member_report {
                writeln!(
                    f,
                    "    last report of the member at that node, {member_report}"
                )?;
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
