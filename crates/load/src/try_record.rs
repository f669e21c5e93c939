//! What became of one try.

use geranium_model::{Outcome, RequestClass};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr, VariantArray};

/// What a caller received.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum AnswerVerdict {
    /// A whole answer to its own request.
    Whole,
    /// An answer to another request, or with other content.
    Wrong,
    /// A success that ended as if whole and lacks a part.
    Short,
    /// A refusal that says the request did not run.
    Refused,
    /// An answer that leaves open whether the request ran, or an error.
    Unknown,
    /// An answer that visibly broke off, or none in time.
    Broken,
    /// No connection to the node.
    Unreachable,
}

impl AnswerVerdict {
    /// Reports whether the caller was left without a word it can rely on, so
    /// that a person would send again.
    pub const fn invites_resend(self) -> bool {
        matches!(self, Self::Unknown | Self::Broken | Self::Unreachable)
    }
}

/// One try of a request through one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TryRecord {
    /// Number of the request within the load; its tries share it.
    pub request: u64,
    /// Identifier sent with this try, which no other try has.
    pub request_id: String,
    /// At-most-once ticket.
    pub ticket: Option<String>,
    /// Class of the request.
    pub class: RequestClass,
    /// Caller's name.
    pub caller: String,
    /// Node's address.
    pub node: String,
    /// HTTP status.
    pub status: Option<u16>,
    /// Outcome that the node states.
    pub outcome: Option<Outcome>,
    /// Numbered result code that the node states.
    pub code: Option<u16>,
    /// Version of the preset by which the node routed it.
    pub preset_version: Option<u64>,
    /// Microseconds from the start of the load to the send.
    pub sent_us: u64,
    /// Microseconds from the send to the end of the answer.
    pub latency_us: u64,
    /// What the caller received.
    pub verdict: AnswerVerdict,
}
