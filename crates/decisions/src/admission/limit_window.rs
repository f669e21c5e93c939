//! Service times seen since the slot limit was last judged.

use std::time::Duration;

use geranium_model::RequestClass;

use super::CLASSES;

/// Fewest service times by which a class is judged: two lie below the lower
/// quartile.
const CLASS_SAMPLES: usize = 8;
/// For three mean service times after a change of the limit, jobs that end
/// either ran under the limit before it or are the shortest of those since.
const SETTLE_JOBS: f64 = 3.0;

/// Window of service times by class, in microseconds.
#[derive(Debug)]
pub(super) struct LimitWindow {
    samples: [Vec<f64>; CLASSES],
    opened: Duration,
    changed: Duration,
    settle: [Duration; CLASSES],
}

impl LimitWindow {
    /// Makes a window with room for `samples` of each class.
    pub fn with_capacity(samples: usize) -> Self {
        Self {
            samples: std::array::from_fn(|_| Vec::with_capacity(samples)),
            opened: Duration::ZERO,
            changed: Duration::ZERO,
            settle: [Duration::ZERO; CLASSES],
        }
    }

    /// Takes in a service time, unless it tells of an earlier limit.
    pub fn push(&mut self, now: Duration, class: RequestClass, service: Duration) -> bool {
        let class = class as usize;
        let settled = now >= self.changed.saturating_add(self.settle[class]);
        if settled {
            self.samples[class].push(service.as_secs_f64() * 1e6);
        }
        settled
    }

    pub fn count(&self) -> usize {
        self.samples.iter().map(Vec::len).sum()
    }

    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.opened)
    }

    /// Returns a class's lower quartile and of how many samples, if they are
    /// enough.
    pub fn quartile_us(&mut self, class: usize) -> Option<(f64, usize)> {
        let samples = &mut self.samples[class];
        let count = samples.len();
        if count < CLASS_SAMPLES {
            return None;
        }
        let (_, quartile, _) = samples.select_nth_unstable_by(count / 4, f64::total_cmp);
        Some((*quartile, count))
    }

    /// Returns the mean of a class's lowest three quarters, if it has enough
    /// samples.
    pub fn typical_us(&mut self, class: usize) -> Option<f64> {
        let samples = &mut self.samples[class];
        if samples.len() < CLASS_SAMPLES {
            return None;
        }
        samples.sort_unstable_by(f64::total_cmp);
        Some(mean(&samples[..samples.len() * 3 / 4]))
    }

    /// Returns the class with the most samples.
    pub fn main_class(&self) -> usize {
        let by_count = |class: &usize| self.samples[*class].len();
        (0..CLASSES).max_by_key(by_count).unwrap_or(0)
    }

    /// Empties the window; where the limit `changed`, it first lets the jobs
    /// under the old one end.
    pub fn reopen(&mut self, now: Duration, changed: bool) {
        self.opened = now;
        for (samples, settle) in self.samples.iter_mut().zip(&mut self.settle) {
            if samples.len() >= CLASS_SAMPLES {
                *settle = Duration::from_secs_f64(SETTLE_JOBS * mean(samples) * 1e-6);
            }
            samples.clear();
        }
        if changed {
            self.changed = now;
        }
    }
}

fn mean(samples: &[f64]) -> f64 {
    samples.iter().sum::<f64>() / samples.len() as f64
}
