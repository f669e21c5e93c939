//! Events of a request's timeline.

use serde::Serialize;
use serde_json::{Map, Value};

/// Decision about a request, as a node logged it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// Time at the node, as the log line gives it.
    pub time: String,
    /// Name of the node that decided.
    pub node: String,
    /// Message of the log line.
    pub message: String,
    /// Description of the decision, with the values behind it.
    pub text: String,
    /// Time and text of the node's last event about the member that the decision names.
    ///
    /// None if no such event was read from the logs before the decision.
    #[serde(rename = "belief")]
    pub member_report: Option<String>,
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
            member_report: None,
        }
    }

    /// Adds the node's last event about the member that the decision names.
    pub(super) fn with_member_event(mut self, last_event: Option<Self>) -> Self {
        self.member_report = last_event.map(|event| format!("{}: {}", event.time, event.text));
        self
    }
}

/// Describes a log event in a sentence; fields that are missing show as `-`.
fn describe(message: &str, fields: &Map<String, Value>) -> String {
    let show = |name: &str| match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(value) => value.to_string(),
    };
    match message {
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
        other => format!("{other}: {}", Value::Object(fields.clone())),
    }
}
