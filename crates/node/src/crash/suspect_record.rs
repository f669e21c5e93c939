//! What is held against one request.

use std::time::Duration;

/// Crashes of one fingerprint.
#[derive(Debug, Clone, Copy)]
pub(super) struct SuspectRecord {
    /// Crashes in memory.
    crashes: u32,
    /// How many of them good completions paid off.
    paid: u32,
    /// Time of the latest crash heard of.
    latest: Duration,
}

impl SuspectRecord {
    pub(super) const fn new(now: Duration) -> Self {
        Self {
            crashes: 0,
            paid: 0,
            latest: now,
        }
    }

    /// Adds a crash.
    pub(super) fn crashed(&mut self, now: Duration) {
        self.crashes += 1;
        self.latest = now;
    }

    /// Takes one crash off the count for a run of good completions.
    pub(super) fn pay(&mut self) {
        self.paid = (self.paid + 1).min(self.crashes);
    }

    /// Drops the oldest crash; a paid one goes first.
    pub(super) fn forget_one(&mut self) {
        self.crashes = self.crashes.saturating_sub(1);
        self.paid = self.paid.saturating_sub(1);
    }

    /// Returns the crashes in memory, paid off or not.
    pub(super) const fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Returns the crashes that count.
    pub(super) const fn unpaid(&self) -> u32 {
        self.crashes - self.paid
    }

    /// Reports whether good completions paid for one of the crashes.
    pub(super) const fn was_good(&self) -> bool {
        self.paid > 0
    }

    /// Returns the time since the latest crash.
    pub(super) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.latest)
    }
}
