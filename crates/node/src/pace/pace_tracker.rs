//! Tracks the load and pace that a start of the backend server reports.

use std::time::Duration;

use super::{PaceRatio, RunPrediction, ServerLoad, pace_ratio::VALID_TIME};
use crate::member::MovingMean;

/// Weight of one run in the moving errors. They span some twenty runs, which a busy backend server
/// completes within a second or two.
const ERROR_WEIGHT: f64 = 0.01;
/// Number of runs from which on the errors are compared.
const RUNS_MIN: u32 = 20;
/// Largest error of one run, as a logarithm of the ratio. One run that hung for seconds must not
/// outweigh a hundred others.
const ERROR_MAX: f64 = 2.0;
/// Largest number of requests from elsewhere, as a multiple of the slots.
const ELSEWHERE_MAX_SLOTS: u32 = 2;

/// Tracks the load and pace that one start of the backend server reports.
///
/// It is made for backend servers that take several times as long for some tenths of a second, more
/// often than run times can show. A pace that is false or late is worse than none. So the tracker
/// compares how well run times are predicted with and without the pace, and the pace counts only
/// while it helps.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceTracker {
    reported: Option<ReportedLoad>,
    pace: Option<ReportedPace>,
    error_with_pace: MovingMean,
    error_without_pace: MovingMean,
    runs: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    /// Requests beyond the node's own by this report, and by this one and the one before.
    excess: u32,
    elsewhere: u32,
    at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct ReportedPace {
    pace: PaceRatio,
    at: Duration,
}

impl PaceTracker {
    /// Records a load that was reported while the node had `own_requests` at the backend server.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::pace::PaceTracker;
    ///
    /// let mut tracker = PaceTracker::default();
    /// let load = "7,0,12,250".parse()?;
    /// tracker.observe(Duration::ZERO, &load, 4);
    /// assert_eq!(tracker.elsewhere(Duration::ZERO), 0, "one report may have been overtaken");
    /// tracker.observe(Duration::ZERO, &load, 4);
    /// assert_eq!(tracker.elsewhere(Duration::ZERO), 3);
    /// assert_eq!(tracker.reported_factor(Duration::ZERO), 2.5);
    /// assert!(!tracker.is_trusted(), "no run has shown that the pace is right");
    /// # Ok::<(), geranium_node::pace::ServerLoadError>(())
    /// ```
    pub fn observe(&mut self, now: Duration, load: &ServerLoad, own_requests: u32) {
        let most = load.slots().saturating_mul(ELSEWHERE_MAX_SLOTS);
        let excess = load.requests().saturating_sub(own_requests).min(most);
        let before = self.reported.filter(|reported| is_valid(now, reported.at));
        // Responses overtake each other, so the excess of a single report may be one of its own.
        let elsewhere = before.map_or(0, |before| before.excess.min(excess));
        self.reported = Some(ReportedLoad {
            excess,
            elsewhere,
            at: now,
        });
        self.pace = load.pace().map(|pace| ReportedPace { pace, at: now });
    }

    /// Records a complete run, and how long it was expected to take.
    pub fn record_run(&mut self, took: Duration, prediction: RunPrediction) {
        let took_s = took.as_secs_f64();
        let predicted = [prediction.with_pace_s, prediction.without_pace_s];
        if took_s <= 0.0 || predicted.iter().any(|&predicted_s| predicted_s <= 0.0) {
            return;
        }
        let [with_pace, without_pace] =
            predicted.map(|predicted_s| (took_s / predicted_s).ln().abs().min(ERROR_MAX));
        self.runs = self.runs.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.runs));
        self.error_with_pace.observe(with_pace, weight);
        self.error_without_pace.observe(without_pace, weight);
    }

    /// Whether run times are predicted better with the reported pace than without it.
    pub fn is_trusted(&self) -> bool {
        let errors = (self.error_with_pace.get(), self.error_without_pace.get());
        let (Some(with_pace), Some(without_pace)) = errors else {
            return false;
        };
        self.runs >= RUNS_MIN && with_pace < without_pace
    }

    /// Whether a pace was reported lately.
    pub fn has_pace(&self, now: Duration) -> bool {
        self.pace.is_some_and(|reported| is_valid(now, reported.at))
    }

    /// Returns the reported pace and its age; none if none was reported.
    pub fn reported_pace(&self, now: Duration) -> Option<(PaceRatio, Duration)> {
        let reported = self.pace?;
        Some((reported.pace, now.saturating_sub(reported.at)))
    }

    /// Returns the run time as a multiple of the base run time, by the reported pace; 1 without it.
    pub fn reported_factor(&self, now: Duration) -> f64 {
        let reported = self.reported_pace(now);
        reported.map_or(1.0, |(pace, age)| pace.factor_after(age))
    }

    /// Returns the number of requests at the backend server that came from elsewhere.
    pub fn elsewhere(&self, now: Duration) -> u32 {
        let reported = self.reported.filter(|reported| is_valid(now, reported.at));
        reported.map_or(0, |reported| reported.elsewhere)
    }
}

fn is_valid(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) <= VALID_TIME
}
