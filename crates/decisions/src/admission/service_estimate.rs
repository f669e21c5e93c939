//! How long a job of one class likely runs.
//!
//! Load pattern: a backend server whose service times drift or jump.
//!
//! Without it: jobs are sent to run that end after their caller left, and each
//! takes a slot from one that could have been answered.
//!
//! Grounds: `GAIN` of an eighth follows a tenfold slowdown within a score of
//! jobs, which is two rounds of 12 slots, and is the gain that TCP uses for
//! round-trip times, with the same mean deviation as the margin.

use std::time::Duration;

const GAIN: f64 = 0.125;

/// Mean service time of one class and how much it strays.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceEstimate {
    mean_us: f64,
    deviation_us: f64,
    known: bool,
}

impl ServiceEstimate {
    pub fn observe(&mut self, service: Duration) {
        let sample = service.as_secs_f64() * 1e6;
        if !self.known {
            self.known = true;
            self.mean_us = sample;
            return;
        }
        let error = sample - self.mean_us;
        self.mean_us += GAIN * error;
        self.deviation_us += GAIN * (error.abs() - self.deviation_us);
    }

    /// Returns the mean in microseconds, or `None` before the first sample.
    pub fn mean_us(&self) -> Option<f64> {
        self.known.then_some(self.mean_us)
    }

    /// Returns the time a job should be given; zero before the first sample.
    pub fn allowance(&self) -> Duration {
        Duration::from_secs_f64((self.mean_us + self.deviation_us) * 1e-6)
    }
}
