//! Intervals of the budget window, in bounded number.
//!
//! Load pattern: a sample every few seconds for 30 days. Without merging, half
//! a million intervals of up to 290 services in ten data centres would be held.
//! An interval may be merged up to the length of the fast window of the last
//! rule whose slow window it has left. Every window that still
//! reaches it is at least seventy times longer, so a merged interval across a
//! window's start shifts that start by less than a seventieth of the window.
//! At most some 600 intervals are older than an hour.

use std::{collections::VecDeque, time::Duration};

use super::{ALERT_RULES, BurnInterval};

/// Intervals between merges; merging costs a walk over all.
const MERGE_EVERY: usize = 256;

/// Intervals, oldest first.
#[derive(Debug)]
pub struct IntervalHistory {
    budget_window: Duration,
    intervals: VecDeque<BurnInterval>,
    unmerged: usize,
}

impl IntervalHistory {
    /// Keeps intervals for so long.
    pub const fn new(budget_window: Duration) -> Self {
        Self {
            budget_window,
            intervals: VecDeque::new(),
            unmerged: 0,
        }
    }

    /// Returns how long intervals are kept.
    pub const fn budget_window(&self) -> Duration {
        self.budget_window
    }

    /// Adds the newest interval and drops those that left the window.
    pub fn push(&mut self, interval: BurnInterval) {
        let from_ms = interval.end_ms.saturating_sub(millis(self.budget_window));
        self.intervals.push_back(interval);
        while self.intervals.len() > 1 && self.intervals[0].end_ms <= from_ms {
            self.intervals.pop_front();
        }
        self.unmerged += 1;
        if self.unmerged >= MERGE_EVERY {
            self.unmerged = 0;
            self.merge();
        }
    }

    /// Yields the intervals that begin within `window`, and always the newest,
    /// so that a window shorter than the time between samples isn't empty.
    pub fn within(&self, window: Duration) -> impl Iterator<Item = &BurnInterval> + Clone {
        let newest = self.intervals.back();
        let from_ms = newest.map_or(0, |last| last.end_ms.saturating_sub(millis(window)));
        let older = self.intervals.len().saturating_sub(1);
        self.intervals
            .iter()
            .take(older)
            .filter(move |interval| interval.start_ms >= from_ms)
            .chain(newest)
    }

    fn merge(&mut self) {
        let now_ms = self.intervals.back().map_or(0, |last| last.end_ms);
        let mut merged: VecDeque<BurnInterval> = VecDeque::new();
        for interval in self.intervals.drain(..) {
            let longest_ms = longest_ms(self.budget_window, now_ms - interval.end_ms.min(now_ms));
            match merged.back_mut() {
                Some(last) if interval.end_ms.saturating_sub(last.start_ms) <= longest_ms => {
                    last.append(interval);
                }
                _ => merged.push_back(interval),
            }
        }
        self.intervals = merged;
    }
}

/// Returns how long an interval of this age may be.
fn longest_ms(budget_window: Duration, age_ms: u64) -> u64 {
    let left = ALERT_RULES
        .iter()
        .rfind(|rule| age_ms > millis(rule.slow_window(budget_window)));
    left.map_or(0, |rule| millis(rule.fast_window(budget_window)))
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
