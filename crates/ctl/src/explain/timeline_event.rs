//! Log events of a request's timeline.

use serde::Serialize;
use serde_json::{Map, Value};

/// Event that a node logged about a request or about a member.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// Wall-clock time at the node, as the log line's field `ts` has it.
    pub time: String,
    /// Instance of the node that logged the event.
    pub node: String,
    /// Message of the log line.
    pub message: String,
    /// Description of the event in a sentence, with the values of its fields.
    pub text: String,
    /// Time and text of the node's last event about the member concerned.
    ///
    /// The member is the one that this event names. `None` if no such event was read from
    /// the logs before this one. The order is that of the lines that were read, not that of
    /// their times.
    #[serde(rename = "belief")]
    pub last_member_event: Option<String>,
}

impl TimelineEvent {
    /// Creates the event of a log line with this message and these fields.
    pub(super) fn new(message: String, fields: &Map<String, Value>) -> Self {
        let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
        Self {
            time: text("ts").to_owned(),
            node: text("node").to_owned(),
            text: describe(&message, fields),
            message,
            last_member_event: None,
        }
    }

    /// Adds the node's last event about the member that this event names.
    pub(super) fn with_member_event(mut self, last_event: Option<Self>) -> Self {
        self.last_member_event = last_event.map(|event| format!("{}: {}", event.time, event.text));
        self
    }
}

/// Describes a log event in a sentence, with `-` for missing fields.
///
/// An unknown message is followed by its fields as JSON.
fn describe(message: &str, fields: &Map<String, Value>) -> String {
    let show = |name: &str| match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(value) => value.to_string(),
    };
    let account = match fields.get("account") {
        Some(Value::String(name)) => format!("; account {name}, configuration {}", show("version")),
        _ => String::new(),
    };
    let text = match message {
        "door refused" => format!(
            "the node at {} refused it for its backend server {}: {} (capacity expected in {} ms); it did not run there",
            show("at"),
            show("instance"),
            show("reason"),
            show("retry_after_ms")
        ),
        "node unreachable" => format!(
            "the node at {} could not be reached, nothing was sent: {}",
            show("at"),
            show("cause")
        ),
        "try broke" => format!(
            "the connection of the try at {} (backend server {}) broke after the request was sent, so it may have run: {}",
            show("at"),
            show("instance"),
            show("cause")
        ),
        "member silent" => format!(
            "the member at {} (backend server {}) sent nothing for {} ms; the try may still be running",
            show("at"),
            show("instance"),
            show("patience_ms")
        ),
        "request answered" => format!(
            "answered {} by backend server {} at {} after {} ms and {} tries; target {} ms",
            show("status"),
            show("instance"),
            show("at"),
            show("took_ms"),
            show("tries"),
            show("target_ms")
        ),
        "request given up" => format!(
            "failed with {} ({} {}) after {} ms and {} tries on service {} under configuration {}; cause {}; retry after {} ms",
            show("status"),
            show("code"),
            show("reason"),
            show("took_ms"),
            show("tries"),
            show("service"),
            show("version"),
            show("cause"),
            show("retry_after_ms")
        ),
        "request rejected" => format!(
            "rejected with {} ({} {}) under configuration {}",
            show("status"),
            show("code"),
            show("reason"),
            show("version")
        ),
        "key unknown" => format!(
            "no account of configuration {} has the key {}; route {}",
            show("version"),
            show("key"),
            show("route")
        ),
        "caller left" => format!(
            "the caller closed its request after {} ms and {} tries; the run, if any, was cancelled",
            show("took_ms"),
            show("tries")
        ),
        "long answer ended" => format!(
            "the inbound proxy's long response ended {}: {} bytes sent of {}, {} expected; ready after {} ms, postponed after {} ms, last sent after {} ms; target {} ms",
            show("end"),
            show("sent"),
            show("bytes"),
            show("bytes_promised"),
            show("made_ms"),
            show("postponed_ms"),
            show("sent_ms"),
            show("target_ms")
        ),
        "member announced" => format!(
            "member {} ({}, {}) announced as {} at revision {}",
            show("at"),
            show("service"),
            show("instance"),
            show("state"),
            show("revision")
        ),
        "announcement missing" => format!("the announcement of {} is missing", show("at")),
        "member gone" => format!("member {} removed: {}", show("at"), show("cause")),
        other => return format!("{other}: {}", Value::Object(fields.clone())),
    };
    text + &account
}
