//! The demo's last line.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Summary of the demo for programs; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DemoLine {
    /// Requests that callers made.
    pub requests: u64,
    /// Answers to another request or with other content.
    pub wrong_answers: u64,
    /// Successes that ended as if whole and lacked a part.
    pub short_answers: u64,
    /// Tickets whose request ran more than once, by the journals.
    pub duplicate_runs: u64,
    /// Tries refused as not run that ran, by the journals.
    pub ran_after_not_run: u64,
    /// Requests without a good answer, refusals included.
    pub failed: u64,
    /// Longest time from an activation until all living nodes followed it;
    /// `None` when one never did.
    pub convergence_ms_max: Option<u64>,
    /// Sightings of an older version, by polling and in answers.
    pub older_version_seen: u64,
    /// Median that a node adds to a kept-alive call, the larger of both
    /// deployments' figures.
    pub added_ms_p50: f64,
    /// 99th percentile of the same.
    pub added_ms_p99: f64,
}

impl fmt::Display for DemoLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = serde_json::to_string(self).map_err(|_error| fmt::Error)?;
        f.write_str(&text)
    }
}
