//! Timeline of a request, from the logs of several nodes.

use std::fmt;

use serde::Serialize;

use super::TimelineEvent;

/// Logged events of one request, from all nodes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// Identifier of the caller's attempt, as the log field `request` has it.
    pub request: String,
    /// Events, in order of their time.
    pub events: Vec<TimelineEvent>,
    /// Number of log lines that the nodes dropped or withheld under load.
    #[serde(rename = "dropped_lines")]
    pub missing_lines: u64,
    /// Number of log lines that couldn't be parsed.
    pub unreadable_lines: u64,
}

impl fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        for event in &self.events {
            writeln!(f, "{} {}: {}", event.time, event.node, event.text)?;
            if let Some(last_member_event) = &event.last_member_event {
                writeln!(
                    f,
                    "    last event about the member at that node, {last_member_event}"
                )?;
            }
        }
        if self.missing_lines > 0 {
            writeln!(
                f,
                "{} lines were dropped or withheld under load; more may have happened",
                self.missing_lines
            )?;
        }
        Ok(())
    }
}
