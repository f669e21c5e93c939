//! What a node answers on the data path.

use geranium_model::{Outcome, ResultCode};
use serde::{Deserialize, Serialize};

use super::HeaderPair;

/// An answer to one question.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The backend server answered.
    Answered {
        /// Status and headers.
        head: AnswerHead,
        /// First part of the body.
        part: BodyPart,
    },
    /// The request gets no answer from a backend server.
    Refused(Refusal),
    /// The next part of a long body.
    Part(BodyPart),
    /// A new ticket, as text.
    Minted(String),
    /// Nothing to say, as after a cancellation.
    Done,
}

/// Status and headers of a backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
    /// Length of the body in bytes, when the backend server named it.
    pub length: Option<u64>,
    /// Load that the backend server reported, in thousandths.
    pub load: Option<u16>,
    /// Whether it replays an earlier run of the same ticket.
    pub replayed: bool,
}

/// Part of a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BodyPart {
    /// The body ends with these bytes, and is whole.
    Last(Vec<u8>),
    /// More follows under this stream.
    More {
        /// Stream to ask for the next part.
        stream: u64,
        /// Bytes of this part.
        bytes: Vec<u8>,
    },
    /// The backend server broke off; what was received is not whole.
    Broken,
}

/// A final refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Numbered reason.
    pub code: ResultCode,
    /// What is known about a run.
    pub outcome: Outcome,
    /// Milliseconds after which another try makes sense.
    pub retry_after_ms: u32,
}

impl Refusal {
    /// Makes a refusal of a request that certainly did not run.
    pub const fn not_run(code: ResultCode, retry_after_ms: u32) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after_ms,
        }
    }

    /// Makes a final answer to a request that may have run.
    pub const fn maybe_run(code: ResultCode) -> Self {
        Self {
            code,
            outcome: Outcome::MaybeRun,
            retry_after_ms: 0,
        }
    }
}
