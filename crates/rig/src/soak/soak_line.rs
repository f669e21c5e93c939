//! The soak's last line.

use serde::{Deserialize, Serialize};

use super::Breach;

/// Result of a soak for programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SoakLine {
    /// Seed of the failures.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: u64,
    /// Failures carried out.
    pub failures: usize,
    /// Requests that callers made.
    pub requests: u64,
    /// Requests with a whole answer of their own.
    pub good: u64,
    /// Tries that broke a ticket's or a refusal's promise, or got a wrong or
    /// short answer.
    pub bad_tries: usize,
    /// Tries in flight at a graceful end that no other failure touched.
    pub judged_at_graceful_ends: u64,
    /// Highest version that was in force everywhere during the load.
    pub version_everywhere: u64,
    /// Time until the fleet was whole after the last failure; `None` if it
    /// never was.
    pub whole_after_ms: Option<u64>,
    /// Every promise that broke; empty when all held.
    pub breaches: Vec<Breach>,
}
