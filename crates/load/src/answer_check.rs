//! Telling whether an answer is whole and the caller's own.

use std::io::Read;

use geranium_model::ContentDigest;
use serde::Deserialize;

use crate::AnswerVerdict;

/// What the stand-in backend server puts into a small answer.
#[derive(Debug, Deserialize)]
struct SmallAnswer {
    request_id: String,
    ticket: Option<String>,
    path: String,
    body_digest: ContentDigest,
}

/// What a small answer must say.
#[derive(Debug)]
pub(crate) struct SmallCheck<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) ticket: Option<&'a str>,
    pub(crate) path: &'a str,
    pub(crate) body_digest: ContentDigest,
    /// The node says that it replays an earlier try's answer.
    pub(crate) replayed: bool,
}

impl SmallCheck<'_> {
    /// Judges the body of a success.
    pub(crate) fn judge(&self, mut body: impl Read) -> AnswerVerdict {
        let mut content = Vec::new();
        if body.read_to_end(&mut content).is_err() {
            return AnswerVerdict::Broken;
        }
        let Ok(answer) = serde_json::from_slice::<SmallAnswer>(&content) else {
            return AnswerVerdict::Short;
        };
        // A replayed answer carries the id of the try that ran; the ticket
        // says whose it is.
        let replay_fits = self.replayed && self.ticket.is_some();
        let own = answer.request_id == self.request_id || replay_fits;
        let fits = own
            && answer.ticket.as_deref() == self.ticket
            && answer.path == self.path
            && answer.body_digest == self.body_digest;
        if fits {
            AnswerVerdict::Whole
        } else {
            AnswerVerdict::Wrong
        }
    }
}
