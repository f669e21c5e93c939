//! Estimated run time, queueing time, occupancy and failure rate of a request at a member.

use std::time::Duration;

/// Cost of using the last slot rather than the first, per run time. Backend servers slow
/// down when they are nearly full.
const OCCUPANCY_COST: f64 = 0.2;
/// Cost of a second in a queue, in seconds. Reports of queues are out of date, and a
/// request in a queue delays those that come after it.
const QUEUE_COST: f64 = 3.0;
/// Share of the target latency that a run may take at no cost. A slow backend server that
/// responds in time is as good as a fast one, and leaves the fast one free.
const TARGET_FREE_SHARE: f64 = 0.5;
/// Cost of a failure in seconds: about the time that a second try takes.
const FAILURE_COST_S: f64 = 0.5;

/// Estimate for a request that is sent to a member now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MemberEstimate {
    /// Run time of the request in seconds.
    pub(super) run_s: f64,
    /// Waiting time in the member's queue in seconds.
    pub(super) queue_s: f64,
    /// Share of the member's slots that are in use, from 0 to 1.
    pub(super) occupancy: f64,
    /// Share of the member's recent responses that were failures.
    pub(super) failure_rate: f64,
}

impl MemberEstimate {
    /// Returns the seconds until the backend server has produced the response.
    pub(super) fn response_ready_s(&self) -> f64 {
        self.queue_s + self.run_s
    }

    /// Whether a request is likely to run at once and get its response within
    /// `target_latency`.
    ///
    /// A request is prompt if it costs no more than the last free slot of a backend server
    /// that is fast enough.
    pub(super) fn is_prompt(&self, target_latency: Duration) -> bool {
        self.cost_s(target_latency) <= OCCUPANCY_COST * self.run_s
    }

    /// Returns the cost, in seconds of waiting.
    ///
    /// The cost adds up the queue, the occupancy, the risk of a failure, and the part of
    /// the run that exceeds half of the target latency.
    pub(super) fn cost_s(&self, target_latency: Duration) -> f64 {
        let slow = (self.run_s - target_latency.as_secs_f64() * TARGET_FREE_SHARE).max(0.0);
        slow + OCCUPANCY_COST * self.occupancy * self.run_s
            + QUEUE_COST * self.queue_s
            + FAILURE_COST_S * self.failure_rate
    }
}
