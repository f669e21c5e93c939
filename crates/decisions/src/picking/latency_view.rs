//! Latency estimates from a node's own requests.

use std::time::Duration;

/// Weight of a new sample. A tenth averages about twenty samples: with a fifth,
/// ordinary scatter between two sound members was taken for slowness.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Shortest latency told apart; below it the network decides.
const LATENCY_MIN: Duration = Duration::from_micros(50);

/// Moving average of the logarithm of latency, and of its spread.
///
/// Short and long requests mix in one service. In the logarithm one answer
/// that took a hundred times longer moves the estimate by a factor of 1.6; in
/// a plain average it would move it by ten.
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
        let error = log_of(latency) - self.mean_log;
        if self.samples > 0 {
            let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
            self.spread_log += weight * (error.abs() - self.spread_log);
        }
        self.samples = self.samples.saturating_add(1);
        // The first samples count alike: one of them alone says little.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_log += weight * error;
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
