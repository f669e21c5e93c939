//! Faults that the stand-in shows on request.

use serde::{Deserialize, Serialize};

/// How the stand-in is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// Calls are answered with status 503.
    Unavailable,
    /// Connections are dropped without an answer, before any effect.
    Drop,
}

/// Faults shown until the next `POST /standin/faults`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// No call has an effect; waiting watches are cut.
    pub down: Option<DownMode>,
    /// Milliseconds by which each call is delayed.
    pub slow_ms: u64,
    /// Reads are answered as they would have been so many milliseconds ago.
    pub stale_reads_ms: u64,
    /// The next so many writes take effect and their answers are lost.
    pub lose_write_answers: u32,
    /// Reads a second above which status 429 is answered.
    pub reads_per_second: Option<u64>,
    /// Writes a second above which status 429 is answered.
    pub writes_per_second: Option<u64>,
}

/// Body of `POST /standin/faults`: the new plan, and what to do at once.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultRequest {
    /// The plan that replaces the one before.
    #[serde(flatten)]
    pub plan: FaultPlan,
    /// Cut every waiting watch now.
    pub cut_watches: bool,
    /// Let this lease lapse now.
    pub lapse_lease: Option<i64>,
}
