//! Number of crashes of one request.

use std::time::Duration;

/// Crashes of one fingerprint, and how many of them were offset.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRecord {
    /// Number of crashes whose records are in memory.
    crashes: u32,
    /// Number of these crashes that successful completions offset.
    offset_crashes: u32,
    /// Completions since the latest crash that this node knows of.
    completions: u32,
    /// Whether the request completed after one of the crashes.
    has_completed: bool,
    /// Time at which the latest crash was recorded on this node.
    latest: Duration,
}

impl SuspectRecord {
    pub(super) const fn new(now: Duration) -> Self {
        Self {
            crashes: 0,
            offset_crashes: 0,
            completions: 0,
            has_completed: false,
            latest: now,
        }
    }

    /// Adds a crash.
    pub(super) fn record_crash(&mut self, now: Duration) {
        self.crashes += 1;
        self.completions = 0;
        self.latest = now;
    }

    /// Adds a completion since the latest crash.
    pub(super) const fn record_completion(&mut self) {
        self.completions = self.completions.saturating_add(1);
        self.has_completed = true;
    }

    /// Returns the completions since the latest crash.
    pub(super) const fn completions(&self) -> u32 {
        self.completions
    }

    /// Returns whether the request completed after one of its crashes, on this node or another.
    pub(super) const fn has_completed(&self) -> bool {
        self.has_completed
    }

    /// Records that the request completed between two of its crashes.
    pub(super) const fn mark_completed(&mut self) {
        self.has_completed = true;
    }

    /// Offsets one crash by successful completions.
    pub(super) fn offset_one(&mut self) {
        self.offset_crashes = (self.offset_crashes + 1).min(self.crashes);
    }

    /// Removes the oldest crash, and with it one offset, if there is one.
    pub(super) fn remove_oldest(&mut self) {
        self.crashes = self.crashes.saturating_sub(1);
        self.offset_crashes = self.offset_crashes.saturating_sub(1);
    }

    /// Returns the number of crashes in memory, offset or not.
    pub(super) const fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the number of crashes that weren't offset.
    pub(super) const fn crashes_not_offset(&self) -> u32 {
        self.crashes - self.offset_crashes
    }

    /// Returns whether successful completions offset one of the crashes.
    pub(super) const fn has_offset_crash(&self) -> bool {
        self.offset_crashes > 0
    }

    /// Returns the time since the latest crash.
    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.latest)
    }
}
