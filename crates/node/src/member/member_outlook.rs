//! What a request would meet at a member.

use std::time::Duration;

/// Cost, as a share of the service time, of the last slot compared with the
/// first: backend servers slow down when they are nearly full.
const FULLNESS_COST: f64 = 0.2;
/// Cost of a second in a queue, in seconds. News of queues are old, and whoever
/// waits there holds up those who come after it.
const QUEUE_COST: f64 = 3.0;
/// Part of the target time that a run may take at no cost: a slow backend server
/// that answers in time is as good as a fast one, and keeps that one free.
const TARGET_PART: f64 = 0.5;
/// Cost of a failure that a pick risks: about what the second try takes.
const FAILURE_COST_S: f64 = 0.5;

/// What a request sent now would meet at a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MemberOutlook {
    /// Seconds of its run.
    pub(super) run_s: f64,
    /// Seconds in the queue before it.
    pub(super) queue_s: f64,
    /// Share of the slots that are taken.
    pub(super) fullness: f64,
    /// Share of the recent answers that were failures.
    pub(super) failure_rate: f64,
}

impl MemberOutlook {
    /// Seconds until the answer is made.
    pub(super) fn made_s(&self) -> f64 {
        self.queue_s + self.run_s
    }

    /// Whether a request sent now should run at once and be answered in time: it costs no
    /// more than the last free slot of a backend server that is fast enough.
    pub(super) fn is_prompt(&self, target: Duration) -> bool {
        self.cost_s(target) <= FULLNESS_COST * self.run_s
    }

    /// Cost in seconds of waiting: the queue, a nearly full backend server, the
    /// risk of a failure, and the part of a run that uses up more than half of
    /// its target time.
    pub(super) fn cost_s(&self, target: Duration) -> f64 {
        let slow = (self.run_s - target.as_secs_f64() * TARGET_PART).max(0.0);
        slow + FULLNESS_COST * self.fullness * self.run_s
            + QUEUE_COST * self.queue_s
            + FAILURE_COST_S * self.failure_rate
    }
}
