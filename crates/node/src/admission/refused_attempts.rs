//! Recognition of requests that were refused and come again.

use std::{collections::VecDeque, time::Duration};

use super::AdmissionRequest;

/// Number of refused requests that are remembered.
const ATTEMPTS_MAX: usize = 256;
/// Largest difference of the target times of a request that is sent again, which come from the
/// transport between nodes.
const TARGET_TOLERANCE: Duration = Duration::from_millis(5);
/// Largest difference where only the target times identify a request.
const BARE_TARGET_TOLERANCE: Duration = Duration::from_millis(2);

/// What a request with an account is recognised by when it comes again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptMark {
    account: u64,
    route_hash: u64,
    fingerprint: Option<u64>,
    target_deadline: Duration,
}

impl AttemptMark {
    /// Returns the mark of a request; none if it has no account.
    pub(super) fn of(request: &AdmissionRequest) -> Option<Self> {
        Some(Self {
            account: request.account?,
            route_hash: request.route_hash,
            fingerprint: request.fingerprint,
            target_deadline: request.target_deadline,
        })
    }

    fn is_same(&self, other: &Self) -> bool {
        let tolerance = match (self.fingerprint, other.fingerprint) {
            (Some(own), Some(fingerprint)) if own == fingerprint => TARGET_TOLERANCE,
            (Some(_), Some(_)) => return false,
            _ => BARE_TARGET_TOLERANCE,
        };
        self.account == other.account
            && self.route_hash == other.route_hash
            && self.target_deadline.abs_diff(other.target_deadline) <= tolerance
    }
}

/// Requests with an account that were refused lately.
///
/// An account whose callers send refused requests again at once asks for no more than before, and
/// must not be owed more for it.
#[derive(Debug, Default)]
pub(super) struct RefusedAttempts {
    marks: VecDeque<AttemptMark>,
}

impl RefusedAttempts {
    /// Whether the request was refused before.
    pub(super) fn contains(&self, mark: &AttemptMark) -> bool {
        self.marks.iter().any(|known| known.is_same(mark))
    }

    /// Records a refusal.
    pub(super) fn record(&mut self, mark: AttemptMark) {
        if self.contains(&mark) {
            return;
        }
        if self.marks.len() == ATTEMPTS_MAX {
            self.marks.pop_front();
        }
        self.marks.push_back(mark);
    }

    /// Forgets all refusals.
    pub(super) fn clear(&mut self) {
        self.marks.clear();
    }
}
