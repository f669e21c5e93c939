//! How fast a queue drains.
//!
//! Load pattern: a queue that holds more work than its callers will wait for.
//!
//! Without it: a request which can't be run in time is held until its deadline,
//! and its caller has no time left to ask elsewhere; and a Retry-After that
//! isn't measured sends everybody back too soon or too late.
//!
//! The rate is jobs that left the queue to run over the time in which any
//! waited, both fading. When the backend server stalls, the time goes on and
//! the jobs don't, so the rate falls without waiting for a job to end.
//!
//! A queue that has just begun to wait has seen no job leave, though those at
//! the backend server are on their way: `HEAD_START` of the slots counts as left
//! then, and fades like all else. Without it a burst of jobs longer than the
//! evidence needs made the rate nil, and everything that waited was refused.
//!
//! Grounds: jobs that run at a random moment have half of their time behind
//! them, so half of the slots is what an average queue finds. `MEMORY` of one second spans some 1,000 jobs of 10 ms on 12 slots,
//! noise of a few percent, and follows a slowdown before a person notices; for
//! longer jobs the memory spans `MEMORY_JOBS` service times. Until the queue
//! has been busy for `EVIDENCE` of it, or again once that is forgotten, the
//! slots over the mean service time stand in.

use std::time::Duration;

const MEMORY: f64 = 1.0;
const MEMORY_JOBS: f64 = 4.0;
const EVIDENCE: f64 = 0.1;
const HEAD_START: f64 = 0.5;

/// Fading count of jobs that left a queue and of the time it was busy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DrainMeter {
    left: f64,
    busy_s: f64,
    was_busy: bool,
    seen: Duration,
}

impl DrainMeter {
    /// Accounts for the time since the last call, in which the queue was
    /// `busy` or empty, with `slots` to run its jobs.
    pub fn advance(&mut self, now: Duration, busy: bool, slots: u32, service_us: f64) {
        let elapsed = now.saturating_sub(self.seen).as_secs_f64();
        self.seen = self.seen.max(now);
        let fade = (-elapsed / memory(service_us)).exp();
        self.left *= fade;
        self.busy_s *= fade;
        let begins = busy && !std::mem::replace(&mut self.was_busy, busy);
        if begins {
            self.left = self.left.max(f64::from(slots) * HEAD_START);
        }
        if busy {
            self.busy_s += elapsed;
        }
    }

    /// Counts a job that left the queue to run.
    pub fn count(&mut self) {
        self.left += 1.0;
    }

    /// Returns jobs a second, or `None` while too little was seen.
    pub fn rate(&self, service_us: f64) -> Option<f64> {
        let enough = self.busy_s >= EVIDENCE * memory(service_us);
        enough.then(|| self.left.max(f64::MIN_POSITIVE) / self.busy_s)
    }
}

fn memory(service_us: f64) -> f64 {
    MEMORY.max(MEMORY_JOBS * service_us * 1e-6)
}
