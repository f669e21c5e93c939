//! How a run at the backend server ended.

use std::time::Duration;

/// Way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobEnd {
    /// The backend server answered.
    Ran,
    /// The backend server refused to run it.
    ShedNotRun,
    /// The connection broke, or the run was cut off.
    Broke,
}

/// Report on a run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobReport {
    /// Time from sending the request to the last byte of the answer.
    pub service: Duration,
    /// Way in which it ended.
    pub end: JobEnd,
}
