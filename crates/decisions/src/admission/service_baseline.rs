//! What a class's service time usually is.
//!
//! Load pattern: a class whose mix changes, such as archives among bulletins.
//!
//! Without it: a mean of all jobs rises when long jobs arrive, and the limit
//! falls although the backend server is as fast as ever.
//!
//! The baseline follows the lower quartile of each class by itself: a backend
//! server that slows makes its fastest jobs slower too, and more long jobs
//! don't. It falls fast and rises slowly.
//!
//! Grounds: `FALL` of a quarter for each window forgets a cold start within
//! about ten windows. `RISE_S` of ten minutes outlasts the slowdowns that a
//! limit can mend, and takes up a new release's slower work within the hour.

use std::time::Duration;

const FALL: f64 = 0.25;
const RISE_S: f64 = 600.0;

/// Slowly moving lower quartile of a class's service time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceBaseline {
    log_us: Option<f64>,
}

impl ServiceBaseline {
    /// Takes in a window's lower quartile and returns it over the baseline.
    pub fn compare(&mut self, quartile_us: f64, window: Duration) -> f64 {
        let sample = quartile_us.max(1.0).ln();
        let Some(log_us) = self.log_us else {
            self.log_us = Some(sample);
            return 1.0;
        };
        let distance = sample - log_us;
        let pace = if distance < 0.0 {
            FALL
        } else {
            (window.as_secs_f64() / RISE_S).min(FALL)
        };
        self.log_us = Some(log_us + pace * distance);
        distance.exp()
    }
}
