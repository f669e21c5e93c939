//! Search of nodes' logs for the lines about one request.

use std::{
    collections::HashMap,
    io::{BufRead, Result},
};

use serde_json::{Map, Value};

use super::{RequestTimeline, TimelineEvent};

/// Messages about a member, which may explain why it was sent a request.
const MEMBER_MESSAGES: [&str; 3] = ["member announced", "announcement missing", "member gone"];

/// Collects the log events of one request from several nodes' logs.
#[derive(Debug)]
pub struct LogScanner {
    request: String,
    events: Vec<TimelineEvent>,
    /// Last event about each member, by logging node and member.
    ///
    /// The key is the instance of the node that logged it and the member's address.
    member_events: HashMap<(String, String), TimelineEvent>,
    /// Number of lines that the nodes dropped or withheld under load.
    missing_lines: u64,
    unreadable_lines: u64,
}

impl LogScanner {
    /// Creates a scanner for the log field `request` with this value.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            events: Vec::new(),
            member_events: HashMap::new(),
            missing_lines: 0,
            unreadable_lines: 0,
        }
    }

    /// Reads log lines up to the end of the input.
    ///
    /// Text before the first brace of a line, such as a log collector's prefix, is skipped, and
    /// so is a line without a brace. A line that can't be parsed is counted.
    ///
    /// # Errors
    ///
    /// Returns an error if the input can't be read.
    pub fn read(&mut self, lines: impl BufRead) -> Result<()> {
        for line in lines.lines() {
            self.scan_line(&line?);
        }
        Ok(())
    }

    /// Returns the events that were found, in order of their time.
    pub fn finish(mut self) -> RequestTimeline {
        self.events.sort_by(|a, b| a.time.cmp(&b.time));
        RequestTimeline {
            request: self.request,
            events: self.events,
            missing_lines: self.missing_lines,
            unreadable_lines: self.unreadable_lines,
        }
    }

    /// Keeps the line's event if it is about the request or about a member.
    fn scan_line(&mut self, line: &str) {
        let Some(start) = line.find('{') else {
            return;
        };
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
            self.unreadable_lines += 1;
            return;
        };
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        let message = text("msg").to_owned();
        if message == "log lines dropped" || message == "lines withheld" {
            let count = fields.get("lines").or_else(|| fields.get("count"));
            self.missing_lines += count.and_then(Value::as_u64).unwrap_or(0);
        }
        if message == "members announced" {
            self.scan_members_line(&fields);
            return;
        }
        let (node, at) = (text("node").to_owned(), text("at").to_owned());
        let is_about_request = text("request") == self.request;
        let event = TimelineEvent::new(message, &fields);
        if MEMBER_MESSAGES.contains(&&*event.message) {
            self.member_events.insert((node, at), event);
        } else if is_about_request {
            let last_event = self.member_events.get(&(node, at)).cloned();
            self.events.push(event.with_member_event(last_event));
        }
    }

    /// Splits a line about many announcements into one event for each member.
    fn scan_members_line(&mut self, line: &Map<String, Value>) {
        let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or_default();
        for row in text("members").split("; ") {
            let names = ["at", "revision", "state", "service", "instance"];
            let values = row.splitn(names.len(), ' ').map(Value::from);
            let mut fields: Map<String, Value> =
                names.into_iter().map(str::to_owned).zip(values).collect();
            for name in ["ts", "node"] {
                fields.insert(name.to_owned(), text(name).into());
            }
            let at = fields.get("at").and_then(Value::as_str).unwrap_or_default();
            let member = (text("node").to_owned(), at.to_owned());
            let event = TimelineEvent::new("member announced".to_owned(), &fields);
            self.member_events.insert(member, event);
        }
    }
}
