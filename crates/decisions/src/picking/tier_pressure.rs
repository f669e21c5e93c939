//! Saturation of one distance of a service.

use std::time::Duration;

use super::latency_view::log_of;

/// Share of saturated results that keeps the pressure where it is. One in
/// twenty: spilling starts before callers notice, and a lone refusal doesn't
/// send work across data centres for long.
const SIGNAL_TARGET: f64 = 0.05;
/// Pressure added by a saturated result: ten in a row move all they may.
const STEP: f64 = 0.1;
/// Most that spills: the rest keeps measuring the nearer distance.
const PRESSURE_MAX: f64 = 0.95;
/// Time constant with which pressure fades without news.
const FADE: Duration = Duration::from_secs(10);
/// Distance above the calm latency that counts as saturated: a factor of two,
/// from where requests wait as long as they run.
const SLOW_LOG: f64 = 0.693;
/// Weight of a sample in the calm latency while it isn't saturated.
const CALM_WEIGHT: f64 = 0.005;
/// The same beyond: a lasting change is accepted after some thousand answers.
const CALM_WEIGHT_BEYOND: f64 = 0.0005;
/// Weight of a sample in the recent latency. A twentieth averages some forty
/// samples: with a fifth, ordinary scatter alone looked like saturation.
const RECENT_WEIGHT: f64 = 0.05;

/// Controller that decides which share of requests goes farther.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TierPressure {
    value: f64,
    changed: Duration,
    answers: u32,
    calm_log: f64,
    recent_log: f64,
}

impl TierPressure {
    /// Takes in a refusal for want of capacity.
    pub(super) fn refused(&mut self, now: Duration) {
        self.step(now, 1.0);
    }

    /// Takes in an answer; it counts as saturated when answers of late are
    /// far above the calm latency.
    pub(super) fn answered(&mut self, now: Duration, latency: Duration) {
        let sample = log_of(latency);
        self.answers = self.answers.saturating_add(1);
        // The first answers count alike: one of them alone says little.
        let least = 1.0 / f64::from(self.answers);
        self.recent_log += RECENT_WEIGHT.max(least) * (sample - self.recent_log);
        let error = self.recent_log - self.calm_log;
        let weight = if error < SLOW_LOG {
            CALM_WEIGHT
        } else {
            CALM_WEIGHT_BEYOND
        };
        self.calm_log += weight.max(least) * error;
        let saturated = error > SLOW_LOG;
        self.step(now, f64::from(u8::from(saturated)));
    }

    /// Returns the pressure from 0 to 0.95.
    pub(super) fn value(&self, now: Duration) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.changed);
        self.value * (-age.as_secs_f64() / FADE.as_secs_f64()).exp()
    }

    fn step(&mut self, now: Duration, signal: f64) {
        let moved = self.value(now) + STEP * (signal - SIGNAL_TARGET);
        self.value = moved.clamp(0.0, PRESSURE_MAX);
        self.changed = now;
    }
}
