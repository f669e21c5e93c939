//! One decision about a request.

use serde::Serialize;
use serde_json::{Map, Value};

/// One decision about a request, as a node logged it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineEvent {
    /// Time of day at the node.
    pub time: String,
    /// Node that decided.
    pub node: String,
    /// What the node logged.
    pub message: String,
    /// The decision in words, with its inputs.
    pub text: String,
    /// What the node last heard of the member that the decision names.
    #[serde(rename = "belief")]
    pub member_report: Option<String>,
}

impl TimelineEvent {
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

    pub(super) fn with_member_event(mut self, last_event: Option<Self>) -> Self {
        self.member_report = last_event.map(|event| format!("{}: {}", event.time, event.text));
        self
    }
}

fn describe(message: &str, fields: &Map<String, Value>) -> String {
    let show = |name: &str| match fields.get(name) {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Null) | None => "-".to_owned(),
        Some(value) => value.to_string(),
    };
    match message {
        "door refused" => format!(
            "the node at {} refused it for its backend server {}: {} (room expected in {} ms); it did not run there",
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
            "the try at {} (backend server {}) broke after it was sent and may have run: {}",
            show("at"),
            show("instance"),
            show("cause")
        ),
        "member silent" => format!(
            "the member at {} (backend server {}) showed no sign of life for {} ms; the try may run",
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
            "given up with {} ({} {}) after {} ms and {} tries on service {} by configuration {}; cause {}; come back in {} ms",
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
            "rejected with {} ({} {}) by configuration {}",
            show("status"),
            show("code"),
            show("reason"),
            show("version")
        ),
        "caller left" => format!(
            "the caller left after {} ms and {} tries; the run, if any, was cancelled",
            show("took_ms"),
            show("tries")
        ),
        "long answer ended" => format!(
            "the door's long answer ended {}: {} bytes sent of {}, {} expected; made after {} ms, put off after {} ms, last sent after {} ms of {} ms until its target",
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
        "member gone" => format!("member {} dropped: {}", show("at"), show("cause")),
        other => format!("{other}: {}", Value::Object(fields.clone())),
    }
}
