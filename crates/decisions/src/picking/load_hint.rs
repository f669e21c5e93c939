//! Load that a backend server claims.

use std::time::Duration;

/// Age after which a claim is forgotten. Load moves within a second; two
/// leave a claim alive between the requests of a slow caller.
const HINT_AGE_MAX: Duration = Duration::from_secs(2);
/// Largest claim taken at its word, in thousandths.
const LOAD_MAX: u16 = 1_000;
/// Share by which a full load claim worsens the score. A half: a false claim
/// can win or lose against a neighbour that is equal, and is outvoted by
/// latency as soon as it differs by half.
const HINT_WEIGHT: f64 = 0.5;

/// The latest claim and when it came.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LoadHint {
    claim: Option<(u16, Duration)>,
}

impl LoadHint {
    /// Takes in a claim in thousandths of capacity.
    pub(super) fn observe(&mut self, now: Duration, load: u16) {
        self.claim = Some((load.min(LOAD_MAX), now));
    }

    fn share(&self, now: Duration) -> Option<f64> {
        let (load, at) = self.claim?;
        let fresh = now.saturating_sub(at) <= HINT_AGE_MAX;
        fresh.then(|| f64::from(load) / f64::from(LOAD_MAX))
    }

    /// Returns the factor on the score, from 1 to 1.5.
    pub(super) fn factor(&self, now: Duration) -> f64 {
        1.0 + HINT_WEIGHT * self.share(now).unwrap_or(0.0)
    }
}
