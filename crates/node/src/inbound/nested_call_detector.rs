//! Detection of the requests that the backend server makes while it runs others.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::member::MovingMean;

/// Time within which a run fails after one of its nested calls was refused.
const FAILURE_WINDOW: Duration = Duration::from_millis(3);
/// Weight of one refused request in the failure share of its route. Five or six refusals are enough
/// to detect nested calls.
const SHARE_WEIGHT: f64 = 0.2;
/// Failure share of a route from which on its requests count as nested calls. It is the share of
/// its refused requests that a failed run follows, which some requests of callers do by chance.
const NESTED_SHARE_MIN: f64 = 0.5;
/// Number of refused requests before a route can be taken for nested calls.
const REFUSALS_MIN: u32 = 3;
/// Bound on the number of refused requests under evaluation. Far fewer are refused within
/// [`FAILURE_WINDOW`].
const PENDING_MAX: usize = 64;

/// A request that was refused within the last [`FAILURE_WINDOW`].
#[derive(Debug, Clone, Copy)]
struct RefusedRequest {
    at: Duration,
    route_hash: u64,
    followed_by_failure: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct FailureShare {
    share: MovingMean,
    refusals: u32,
}

impl FailureShare {
    fn is_nested_call(&self) -> bool {
        self.refusals >= REFUSALS_MIN && self.share.get().unwrap_or(0.0) >= NESTED_SHARE_MIN
    }
}

/// Detects which requests the local backend server makes while it runs others.
///
/// A run whose nested call is refused fails, and its slot was occupied for nothing, so nested
/// calls must go before new requests. Callers and backend servers send to the same port from the
/// same address, and nothing on the wire identifies a nested call. But a run whose nested call was
/// refused fails at once: if a failed run follows most refusals of a route, its requests are
/// nested calls.
#[derive(Debug, Default)]
pub struct NestedCallDetector {
    pending: VecDeque<RefusedRequest>,
    shares: HashMap<u64, FailureShare>,
    newly_detected: Option<u64>,
}

impl NestedCallDetector {
    /// Records that a request from this machine got no response of a backend server. Returns a
    /// route that has been found to carry nested calls since the last call of this method.
    pub fn record_failed_request(&mut self, now: Duration, route_hash: u64) -> Option<u64> {
        self.evaluate_pending(now);
        if self.pending.len() < PENDING_MAX {
            self.pending.push_back(RefusedRequest {
                at: now,
                route_hash,
                followed_by_failure: false,
            });
        }
        self.newly_detected.take()
    }

    /// Records that a run of the backend server failed. Returns whether the cause is likely a
    /// refused request from this machine, which was a nested call of the run.
    pub fn record_failed_run(&mut self, now: Duration) -> bool {
        self.evaluate_pending(now);
        let last = self
            .pending
            .iter_mut()
            .rev()
            .find(|refused| !refused.followed_by_failure);
        let Some(refused) = last else {
            return false;
        };
        refused.followed_by_failure = true;
        true
    }

    /// Whether requests of a route from this machine are nested calls.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::NestedCallDetector;
    ///
    /// let mut detector = NestedCallDetector::default();
    /// for second in 1..5 {
    ///     detector.record_failed_request(Duration::from_secs(second), 7);
    ///     detector.record_failed_run(Duration::from_millis(second * 1_000 + 1));
    /// }
    /// assert!(detector.is_nested_call(7));
    /// assert!(!detector.is_nested_call(8));
    /// ```
    pub fn is_nested_call(&self, route_hash: u64) -> bool {
        self.shares
            .get(&route_hash)
            .is_some_and(FailureShare::is_nested_call)
    }

    /// Evaluates the refused requests whose [`FAILURE_WINDOW`] has passed.
    fn evaluate_pending(&mut self, now: Duration) {
        while let Some(refused) = self.pending.front().copied() {
            if now <= refused.at + FAILURE_WINDOW {
                break;
            }
            self.pending.pop_front();
            let failure_share = self.shares.entry(refused.route_hash).or_default();
            let before = failure_share.is_nested_call();
            let followed_by_failure = f64::from(u8::from(refused.followed_by_failure));
            failure_share
                .share
                .observe(followed_by_failure, SHARE_WEIGHT);
            failure_share.refusals = failure_share.refusals.saturating_add(1);
            if failure_share.is_nested_call() && !before {
                self.newly_detected = Some(refused.route_hash);
            }
        }
    }
}
