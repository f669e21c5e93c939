//! Moving rate of requests.

use std::time::Duration;

/// Time constant of the rate. Demand may rise severalfold within a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Moving rate of requests, with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DemandRate {
    weight: f64,
    at: Duration,
}

impl DemandRate {
    /// Counts a request.
    pub(super) fn record(&mut self, now: Duration) {
        self.weight = self.decayed(now) + 1.0;
        self.at = now;
    }

    /// Returns the requests per second.
    pub(super) fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Returns when the last request was counted.
    pub(super) const fn last(&self) -> Duration {
        self.at
    }

    fn decayed(&self, now: Duration) -> f64 {
        let time = now.saturating_sub(self.at).as_secs_f64();
        self.weight * (-time / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
