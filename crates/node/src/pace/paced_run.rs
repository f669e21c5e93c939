//! Runs at a backend server that reports its pace.

use std::time::Duration;

use super::PaceRatio;

/// Run times that were expected when a run began, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunPrediction {
    /// Expected from the base run time and the reported pace.
    pub with_pace_s: f64,
    /// Expected from earlier run times alone.
    pub without_pace_s: f64,
}

/// A run that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedRun {
    /// Hash of the route.
    pub route_hash: u64,
    /// Time of a complete run; none for one that was cut short, which says nothing about run times.
    pub took: Option<Duration>,
    /// Pace that was reported with the response; none if none was.
    pub pace: Option<PaceRatio>,
    /// Expectation when the run began; none if no pace was known.
    pub prediction: Option<RunPrediction>,
}

impl FinishedRun {
    /// Returns a run at a backend server that reports no pace.
    pub const fn new(route_hash: u64, took: Option<Duration>) -> Self {
        Self {
            route_hash,
            took,
            pace: None,
            prediction: None,
        }
    }
}
