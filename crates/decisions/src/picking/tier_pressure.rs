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
/// Factor above the calm latency that counts as saturated: a queue holds
/// twice as much waiting as running work by then.
const SLOW_FACTOR_LOG: f64 = 1.1; // ln 3
/// Weight of a sample in the calm latency when it falls.
const CALM_FALL: f64 = 0.05;
/// The same when it rises: a lasting change is accepted after some thousand.
const CALM_RISE: f64 = 0.001;
/// Weight of a sample in the recent latency.
const RECENT_WEIGHT: f64 = 0.2;

/// Controller that decides which share of requests goes farther.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TierPressure {
    value: f64,
    changed: Duration,
    calm_log: Option<f64>,
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
        let calm = self.calm_log.unwrap_or(sample);
        if self.calm_log.is_none() {
            self.recent_log = sample;
        }
        self.recent_log += RECENT_WEIGHT * (sample - self.recent_log);
        let error = self.recent_log - calm;
        let weight = if error < 0.0 { CALM_FALL } else { CALM_RISE };
        self.calm_log = Some(calm + weight * error);
        let saturated = error > SLOW_FACTOR_LOG;
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
