//! Suspension of calls to an unavailable store, and the pauses between its probes.

use std::time::Duration;

/// First pause between probes of the store.
///
/// A connection that was dropped is usually restored almost at once.
const PROBE_PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause between probes of a node that probes for others.
///
/// A node must have recovered two seconds after the store has. Within that time, a probe may
/// hang for one second, and one or two calls must be made.
const PROBE_PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of a node that has lost a store that other nodes reach.
///
/// Meanwhile other nodes make its calls on its behalf.
const PROBE_PAUSE_MAX_ALONE: Duration = Duration::from_millis(1_500);
/// Pause after repeated failures of a node whose relay probes the store for it.
///
/// The relay tells this node when the store is available again.
const PROBE_PAUSE_BY_RELAY: Duration = Duration::from_secs(8);

/// Which node probes the store after this node has lost it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreProbeDuty {
    /// This node, for itself and for the nodes whose relay it is.
    Own,
    /// This node, for itself only: its relay reaches the store.
    Alone,
    /// The relay, which has lost the store as well.
    ///
    /// The relay tells this node when the store is available again.
    ByRelay,
}

/// Decides whether any part of a node may call the store.
///
/// The store may be unavailable, or refuse this node's calls, for seconds, and each call is billed.
/// After a failed call, no part of the node calls the store until a cheap probe has succeeded. The
/// pauses between probes grow, and are randomized so that the nodes don't probe at the same moment.
/// A node with a relay probes rarely: otherwise the number of probes would grow with the size of
/// the fleet times the length of the outage.
#[derive(Debug, Default)]
pub struct StoreAccess {
    /// Failed calls and probes since the last successful call.
    failures: u32,
    /// Whether calls wait until a probe succeeds.
    suspended: bool,
}

impl StoreAccess {
    /// Returns whether the store may be called.
    pub const fn allows_calls(&self) -> bool {
        !self.suspended
    }

    /// Records that a call succeeded.
    ///
    /// Returns whether calls or probes had failed before.
    pub fn record_success(&mut self) -> bool {
        let had_failed = self.failures > 0;
        *self = Self::default();
        had_failed
    }

    /// Records that a call or probe failed, and suspends calls.
    ///
    /// Returns whether it is the first failure since the last successful call.
    pub fn record_failure(&mut self) -> bool {
        let is_first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        self.suspended = true;
        is_first
    }

    /// Suspends calls until a probe succeeds, because other nodes have lost the store.
    ///
    /// Returns whether calls weren't suspended already.
    pub fn recheck(&mut self) -> bool {
        if self.suspended {
            return false;
        }
        self.suspended = true;
        self.failures = 1;
        true
    }

    /// Records that a probe succeeded, and allows calls again.
    ///
    /// Calls may still fail, as some faults of the store don't affect reads.
    pub fn record_probe_success(&mut self) {
        self.suspended = false;
    }

    /// Returns the pause before the next probe.
    ///
    /// `jitter` is random, from 0 to 1; the pause for 0 is half the pause for 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::distribution::{StoreProbeDuty, StoreAccess};
    ///
    /// let mut access = StoreAccess::default();
    /// assert!(access.record_failure());
    /// assert!(!access.allows_calls());
    /// assert!(access.probe_pause(StoreProbeDuty::Own, 1.0) <= Duration::from_millis(100));
    /// assert!(!access.record_failure());
    /// let by_relay = access.probe_pause(StoreProbeDuty::ByRelay, 0.0);
    /// assert!(by_relay > access.probe_pause(StoreProbeDuty::Own, 1.0));
    /// ```
    pub fn probe_pause(&self, duty: StoreProbeDuty, jitter: f64) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(10);
        let pause = PROBE_PAUSE_FIRST * (1 << doublings);
        let pause = match duty {
            StoreProbeDuty::Own => pause.min(PROBE_PAUSE_MAX),
            StoreProbeDuty::Alone => pause.min(PROBE_PAUSE_MAX_ALONE),
            StoreProbeDuty::ByRelay if doublings > 0 => PROBE_PAUSE_BY_RELAY,
            StoreProbeDuty::ByRelay => pause,
        };
        pause.mul_f64(0.5 + 0.5 * jitter)
    }
}
