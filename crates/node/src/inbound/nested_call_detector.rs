//! Which requests the backend server makes while it runs others.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::member::MovingMean;

/// Time within which a run fails after a call of its own was turned away.
const FAILURE_WINDOW: Duration = Duration::from_millis(3);
/// Weight of one request turned away in the share of those that a failed run
/// followed: five or six tell.
const SHARE_WEIGHT: f64 = 0.2;
/// Share from which on a class counts as calls. Some requests of callers are followed by
/// a failed run by chance.
const NESTED_SHARE_MIN: f64 = 0.5;
/// Requests turned away before a class is believed to be calls.
const REJECTIONS_MIN: u32 = 3;
/// Requests turned away that are looked at together: far more than come within
/// the time.
const PENDING_MAX: usize = 64;

/// A request turned away a moment ago.
#[derive(Debug, Clone, Copy)]
struct RejectedRequest {
    at: Duration,
    route_hash: u64,
    followed: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct FailureShare {
    share: MovingMean,
    rejections: u32,
}

impl FailureShare {
    fn is_nested_call(&self) -> bool {
        self.rejections >= REJECTIONS_MIN && self.share.get().unwrap_or(0.0) >= NESTED_SHARE_MIN
    }
}

/// Which requests the backend server beside this node makes while it runs others.
///
/// A run whose call is turned away fails, and its slot was held for nothing, so calls
/// must go before requests that haven't begun. Callers and backend servers send to the
/// same port from the same address, and nothing on the wire tells a call. A run whose
/// call was turned away fails at once: a class of requests of which most that are turned
/// away are followed by a failed run is one of calls.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    pending: VecDeque<RejectedRequest>,
    shares: HashMap<u64, FailureShare>,
    newly_detected: Option<u64>,
}

impl NestedCallDetector {
    /// Notes that a request of `route_hash`, sent on this machine, got no answer, and
    /// returns a class that has been found to be calls since.
    pub fn request_failed(&mut self, now: Duration, route_hash: u64) -> Option<u64> {
        self.evaluate_pending(now);
        if self.pending.len() < PENDING_MAX {
            self.pending.push_back(RejectedRequest {
                at: now,
                route_hash,
                followed: false,
            });
        }
        self.newly_detected.take()
    }

    /// Notes that a run of the backend server failed.
    pub fn run_failed(&mut self, now: Duration) {
        self.evaluate_pending(now);
        let last = self
            .pending
            .iter_mut()
            .rev()
            .find(|rejected| !rejected.followed);
        if let Some(rejected) = last {
            rejected.followed = true;
        }
    }

    /// Whether requests of `route_hash`, sent on this machine, are calls of its
    /// backend server.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::NestedCallDetector;
    ///
    /// let mut detector = NestedCallDetector::default();
    /// for second in 1..5 {
    ///     detector.request_failed(Duration::from_secs(second), 7);
    ///     detector.run_failed(Duration::from_millis(second * 1_000 + 1));
    /// }
    /// assert!(detector.is_nested_call(7));
    /// assert!(!detector.is_nested_call(8));
    /// ```
    pub fn is_nested_call(&self, route_hash: u64) -> bool {
        self.shares
            .get(&route_hash)
            .is_some_and(FailureShare::is_nested_call)
    }

    /// Judges what was turned away long enough ago.
    fn evaluate_pending(&mut self, now: Duration) {
        while let Some(rejected) = self.pending.front().copied() {
            if now <= rejected.at + FAILURE_WINDOW {
                break;
            }
            self.pending.pop_front();
            let known = self.shares.entry(rejected.route_hash).or_default();
            let before = known.is_nested_call();
            let followed = f64::from(u8::from(rejected.followed));
            known.share.observe(followed, SHARE_WEIGHT);
            known.rejections = known.rejections.saturating_add(1);
            if known.is_nested_call() && !before {
                self.newly_detected = Some(rejected.route_hash);
            }
        }
    }
}
