//! Latency estimates from a node's own requests.

use std::time::Duration;

/// Weight of a new sample. A fifth averages about nine samples: enough to see
/// a slow-down within a second at ten requests a second, and few enough that
/// one outlier doesn't decide.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Shortest latency told apart; below it the network decides.
const LATENCY_MIN: Duration = Duration::from_micros(50);

/// Moving average of the logarithm of latency, and of its spread.
///
/// Short and long requests mix in one service. In the logarithm one answer
/// that took a hundred times longer moves the estimate by a factor of 2.5; in
/// a plain average it would move it by twenty.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LatencyView {
    mean_log: f64,
    spread_log: f64,
    estimate: f64,
    samples: u32,
}

impl LatencyView {
    /// Takes in one answer's latency.
    pub(super) fn observe(&mut self, latency: Duration) {
        let sample = log_of(latency);
        if self.samples == 0 {
            self.mean_log = sample;
        } else {
            let error = sample - self.mean_log;
            self.mean_log += SAMPLE_WEIGHT * error;
            self.spread_log += SAMPLE_WEIGHT * (error.abs() - self.spread_log);
        }
        self.samples = self.samples.saturating_add(1);
        self.estimate = self.mean_log.exp();
    }

    /// Returns the number of answers seen.
    pub(super) const fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the mean of the logarithm of seconds.
    pub(super) const fn mean_log(&self) -> f64 {
        self.mean_log
    }

    /// Returns the mean distance of samples from the mean, in the logarithm.
    pub(super) const fn spread_log(&self) -> f64 {
        self.spread_log
    }

    /// Returns the estimate in seconds, once there is a sample.
    pub(super) fn estimate(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.estimate)
    }
}

/// Returns the logarithm of `latency` in seconds.
pub(super) fn log_of(latency: Duration) -> f64 {
    latency.max(LATENCY_MIN).as_secs_f64().ln()
}
