//! What the gate tells the node to do.

use std::time::Duration;

use geranium_model::ResultCode;

use super::JobId;

/// Refusal of a job that hasn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusal {
    /// Reason.
    pub code: ResultCode,
    /// Time after which the same request would likely be taken, from the
    /// measured drain rate; zero when another node should be asked at once.
    pub retry_after: Duration,
}

/// Decision on one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// Send the job to the backend server now.
    Run(JobId),
    /// Refuse the job; it truly didn't run.
    Refuse(JobId, JobRefusal),
}
