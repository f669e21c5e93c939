//! What a class's service time usually is.
//!
//! Load pattern: a class whose mix changes, such as archives among bulletins.
//!
//! Without it: a mean of all jobs rises when long jobs arrive, and the limit
//! falls although the backend server is as fast as ever.
//!
//! The baseline follows the lower quartile of each class by itself: a backend
//! server that slows makes its fastest jobs slower too, and more long jobs
//! don't. It averages the first windows, then moves slowly.
//!
//! Grounds: within `NOISE`, up or down, a window is chance, and `SETTLE_S` of a
//! minute averages hundreds of them; a faster fall would follow the lowest ones
//! and make the usual look slow. Below it the backend server became faster, or
//! was cold before: `FALL` of a quarter for each window takes that up in about
//! ten. Above it the server slowed: `RISE_S` of ten minutes outlasts what a
//! limit can mend, and takes up a new release's slower work within the hour.

use std::time::Duration;

const NOISE: f64 = 0.5;
const SETTLE_S: f64 = 60.0;
const FALL: f64 = 0.25;
const RISE_S: f64 = 600.0;

/// Slowly moving lower quartile of a class's service time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServiceBaseline {
    log_us: f64,
    windows: f64,
}

impl ServiceBaseline {
    /// Returns a window's lower quartile over the baseline; 1 at first.
    pub fn slowdown(&self, quartile_us: f64) -> f64 {
        if self.windows == 0.0 {
            return 1.0;
        }
        (quartile_us.max(1.0).ln() - self.log_us).exp()
    }

    /// Takes in a window's lower quartile.
    pub fn learn(&mut self, quartile_us: f64, window: Duration) {
        let distance = quartile_us.max(1.0).ln() - self.log_us;
        let pace = if self.windows == 0.0 {
            1.0
        } else {
            self.pace(distance, window.as_secs_f64())
        };
        self.log_us += pace * distance;
        self.windows += 1.0;
    }

    fn pace(&self, distance: f64, window_s: f64) -> f64 {
        if distance < -NOISE {
            FALL
        } else if distance > NOISE {
            (window_s / RISE_S).min(FALL)
        } else {
            (window_s / SETTLE_S)
                .max(1.0 / (self.windows + 1.0))
                .min(1.0)
        }
    }
}
