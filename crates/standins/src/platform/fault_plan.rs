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
#[serde(from = "FaultBody")]
pub struct FaultRequest {
    /// The plan that replaces the one before.
    #[serde(flatten)]
    pub plan: FaultPlan,
    /// Cut every waiting watch now.
    pub cut_watches: bool,
    /// Let this lease lapse now.
    pub lapse_lease: Option<i64>,
}

/// The same fields side by side.
///
/// A flattened struct takes fields that it doesn't know, and a misspelt fault
/// would let a test pass without it.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct FaultBody {
    down: Option<DownMode>,
    slow_ms: u64,
    stale_reads_ms: u64,
    lose_write_answers: u32,
    reads_per_second: Option<u64>,
    writes_per_second: Option<u64>,
    cut_watches: bool,
    lapse_lease: Option<i64>,
}

impl From<FaultBody> for FaultRequest {
    fn from(body: FaultBody) -> Self {
        Self {
            plan: FaultPlan {
                down: body.down,
                slow_ms: body.slow_ms,
                stale_reads_ms: body.stale_reads_ms,
                lose_write_answers: body.lose_write_answers,
                reads_per_second: body.reads_per_second,
                writes_per_second: body.writes_per_second,
            },
            cut_watches: body.cut_watches,
            lapse_lease: body.lapse_lease,
        }
    }
}
