//! One run of a request.

use geranium_model::ContentDigest;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// How a run ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It hasn't ended, or the process died under it.
    Running,
    /// Its work was done to the end.
    Ran,
    /// It was refused, and no work was done.
    Shed,
    /// It was given up midway: cancelled, or past its deadline.
    Cancelled,
    /// Its work was done and its answer broken off on purpose.
    Broke,
}

/// A record of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Number of the run within this process, from 0.
    pub run: u64,
    /// Start of the process in milliseconds since the Unix epoch.
    pub process: u64,
    /// Identifier of the request, empty when it had none.
    pub request_id: String,
    /// At-most-once ticket.
    pub ticket: Option<String>,
    /// Path without the query.
    pub path: String,
    /// Digest of the request's body.
    pub body_digest: ContentDigest,
    /// Start in milliseconds since the Unix epoch.
    pub started: u64,
    /// End in milliseconds since the Unix epoch.
    pub ended: Option<u64>,
    /// How it ended.
    pub how: RunEnd,
}
