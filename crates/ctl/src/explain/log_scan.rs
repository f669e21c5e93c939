//! Reading of log lines.

use std::{
    collections::HashMap,
    io::{BufRead, Result},
};

use serde_json::{Map, Value};

use super::{RequestStory, StoryEvent};

/// Messages about what a node believes of a member, which may explain a
/// decision that names the member.
const BELIEFS: [&str; 3] = ["member announced", "announcement missing", "member gone"];

/// Collects what logs tell about one request.
#[derive(Debug)]
pub struct LogScan {
    request: String,
    events: Vec<StoryEvent>,
    /// Last line about each member, by the node that wrote it.
    beliefs: HashMap<(String, String), StoryEvent>,
    dropped: u64,
    unreadable: u64,
}

impl LogScan {
    /// Makes a scan for the request with this identifier.
    pub fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            events: Vec::new(),
            beliefs: HashMap::new(),
            dropped: 0,
            unreadable: 0,
        }
    }

    /// Reads lines to the end. What stands before the first brace of a line,
    /// as log collectors put it, is passed over.
    ///
    /// # Errors
    ///
    /// When the input can't be read.
    pub fn read(&mut self, lines: impl BufRead) -> Result<()> {
        for line in lines.lines() {
            self.take(&line?);
        }
        Ok(())
    }

    /// Puts what was found in order.
    pub fn finish(mut self) -> RequestStory {
        self.events.sort_by(|a, b| a.time.cmp(&b.time));
        RequestStory {
            request: self.request,
            events: self.events,
            dropped_lines: self.dropped,
            unreadable_lines: self.unreadable,
        }
    }

    fn take(&mut self, line: &str) {
        let Some(start) = line.find('{') else {
            return;
        };
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
            self.unreadable += 1;
            return;
        };
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        let message = text("msg").to_owned();
        if message == "log lines dropped" || message == "lines withheld" {
            let count = fields.get("lines").or_else(|| fields.get("count"));
            self.dropped += count.and_then(Value::as_u64).unwrap_or(0);
        }
        if message == "members announced" {
            self.take_members(&fields);
            return;
        }
        let (node, at) = (text("node").to_owned(), text("at").to_owned());
        let concerned = text("request") == self.request;
        let event = StoryEvent::new(message, &fields);
        if BELIEFS.contains(&&*event.message) {
            self.beliefs.insert((node, at), event);
        } else if concerned {
            let belief = self.beliefs.get(&(node, at)).cloned();
            self.events.push(event.because(belief));
        }
    }

    /// Takes in a line that tells of many announcements.
    fn take_members(&mut self, line: &Map<String, Value>) {
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
            let event = StoryEvent::new("member announced".to_owned(), &fields);
            self.beliefs.insert(member, event);
        }
    }
}
