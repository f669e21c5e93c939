//! Pauses between calls to a store that doesn't answer.

use std::time::Duration;

use rand::{Rng, RngExt};

/// First pause: a dropped connection is opened again nearly at once.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause. A node has to be back two seconds after the store is, with
/// a call or two to make by then.
const PAUSE_MAX: Duration = Duration::from_millis(700);

/// Pauses that double with each failure in a row.
///
/// **Failure.** The store returns after an outage and every node calls it in
/// the same moment. **Guard.** Each pause is drawn from half to the whole of
/// its length, so that calls spread over a third of a second and more.
#[derive(Debug, Default)]
pub struct StorePause {
    failures: u32,
}

impl StorePause {
    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Notes a failure and returns the pause before the next call.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = PAUSE_FIRST * (1 << self.failures.min(3));
        self.failures += 1;
        pause
            .min(PAUSE_MAX)
            .mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}
