//! Positions of queued requests.

use std::time::Duration;

/// Position of a queued request; the smallest key of an account runs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Whether the request is new. A nested call belongs to a run that has begun.
    pub(super) is_new: bool,
    pub(super) rank: u8,
    /// Whether the response can't arrive by its target time any more.
    pub(super) late: bool,
    pub(super) target_deadline: Duration,
    pub(super) order: u64,
}

impl QueueKey {
    /// Returns the part of the order that goes before the turns of accounts.
    pub(super) const fn class(&self) -> (bool, u8, bool) {
        (self.is_new, self.rank, self.late)
    }
}
