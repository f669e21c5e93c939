//! Bounded history of the intervals in the budget window.
//!
//! A sample every few seconds for 30 days makes half a million intervals, each
//! with up to 290 services in ten data centres. Adjacent intervals are therefore
//! merged as they age: once they are older than a rule's slow window, up to the
//! length of that rule's fast window. Each window that still includes them is at
//! least seventy times longer, so a merged interval across a window's start
//! shifts that start by less than a seventieth of the window. At most about 600
//! intervals are older than an hour.

use std::{collections::VecDeque, time::Duration};

use super::{ALERT_RULES, BurnInterval};

/// Number of pushed intervals between two merges.
///
/// Merging visits all intervals, so it isn't done with each push.
const INTERVALS_PER_MERGE: usize = 256;

/// Intervals of the budget window, oldest first.
#[derive(Debug)]
pub struct IntervalHistory {
    budget_window: Duration,
    intervals: VecDeque<BurnInterval>,
    pushed_since_merge: usize,
}

impl IntervalHistory {
    /// Creates an empty history that keeps intervals for the budget window.
    pub const fn new(budget_window: Duration) -> Self {
        Self {
            budget_window,
            intervals: VecDeque::new(),
            pushed_since_merge: 0,
        }
    }

    /// Returns the length of the budget window.
    pub const fn budget_window(&self) -> Duration {
        self.budget_window
    }

    /// Adds the newest interval and drops those that end before the budget window.
    pub fn push(&mut self, interval: BurnInterval) {
        let window_start_ms = interval.end_ms.saturating_sub(millis(self.budget_window));
        self.intervals.push_back(interval);
        while self.intervals.len() > 1 && self.intervals[0].end_ms <= window_start_ms {
            self.intervals.pop_front();
        }
        self.pushed_since_merge += 1;
        if self.pushed_since_merge >= INTERVALS_PER_MERGE {
            self.pushed_since_merge = 0;
            self.merge();
        }
    }

    /// Returns the intervals that start within `window`, and always the newest.
    ///
    /// The newest is included so that a window shorter than the time between
    /// samples isn't empty.
    pub fn within(&self, window: Duration) -> impl Iterator<Item = &BurnInterval> + Clone {
        let newest = self.intervals.back();
        let window_start_ms = newest.map_or(0, |last| last.end_ms.saturating_sub(millis(window)));
        let older_count = self.intervals.len().saturating_sub(1);
        self.intervals
            .iter()
            .take(older_count)
            .filter(move |interval| interval.start_ms >= window_start_ms)
            .chain(newest)
    }

    /// Merges adjacent intervals up to the length that [`max_interval_ms`] allows.
    fn merge(&mut self) {
        let now_ms = self.intervals.back().map_or(0, |last| last.end_ms);
        let mut merged: VecDeque<BurnInterval> = VecDeque::new();
        for interval in self.intervals.drain(..) {
            let max_interval_ms =
                max_interval_ms(self.budget_window, now_ms - interval.end_ms.min(now_ms));
            match merged.back_mut() {
                Some(last) if interval.end_ms.saturating_sub(last.start_ms) <= max_interval_ms => {
                    last.append(interval);
                }
                _ => merged.push_back(interval),
            }
        }
        self.intervals = merged;
    }
}

/// Returns the length up to which intervals of this age may be merged.
fn max_interval_ms(budget_window: Duration, age_ms: u64) -> u64 {
    let exceeded_rule = ALERT_RULES
        .iter()
        .rfind(|rule| age_ms > millis(rule.slow_window(budget_window)));
    exceeded_rule.map_or(0, |rule| millis(rule.fast_window(budget_window)))
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
