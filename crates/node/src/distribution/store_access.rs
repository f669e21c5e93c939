//! Whether the store is called.

use std::time::Duration;

/// First pause: a dropped connection is opened again nearly at once.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause. A node has to be back two seconds after the store is, with
/// a look that may hang for one and a call or two to make by then.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of a node that is turned away while others reach the store: they make
/// its calls meanwhile.
const PAUSE_ALONE: Duration = Duration::from_millis(1_500);
/// Longest pause of a node that another one tells when the store is back.
const PAUSE_TOLD: Duration = Duration::from_secs(8);

/// Who looks for a store that has been lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreProbeDuty {
    /// This node, for itself and for those that follow it.
    Own,
    /// This node, for itself: the one that it follows reaches the store.
    Alone,
    /// Another node, which has lost the store as well and tells this one when it is
    /// back.
    ByRelay,
}

/// Whether the store is called, for all parts of a node that do.
///
/// The store may be away, or turn this node away, for seconds, and each call is paid
/// for. After a failure no part of the node calls until a cheap look has found the
/// store answering. Pauses between looks grow, and are spread so that nodes don't look
/// in the same moment. A node that follows another looks seldom: otherwise the looks
/// of a fleet grow with its size times the length of the outage.
#[derive(Debug, Default)]
pub struct StoreAccess {
    failures: u32,
    shut: bool,
}

impl StoreAccess {
    /// Whether the store may be called.
    pub const fn is_open(&self) -> bool {
        !self.shut
    }

    /// Notes that a call was answered, and returns whether that is news.
    pub fn record_success(&mut self) -> bool {
        let failing = self.failures > 0;
        *self = Self::default();
        failing
    }

    /// Notes that a call failed, and returns whether that is news.
    pub fn record_failure(&mut self) -> bool {
        let first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        self.shut = true;
        first
    }

    /// Lets the next look decide whether the store is there, as other nodes have lost
    /// it; returns whether that is news.
    pub fn recheck(&mut self) -> bool {
        if self.shut {
            return false;
        }
        self.shut = true;
        self.failures = 1;
        true
    }

    /// Notes that a look was answered. Calls may still fail: some ways of being
    /// away spare reads.
    pub fn record_probe_success(&mut self) {
        self.shut = false;
    }

    /// Returns the pause before the next look; `share` from 0 to 1 spreads it.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::distribution::{StoreProbeDuty, StoreAccess};
    ///
    /// let mut access = StoreAccess::default();
    /// assert!(access.record_failure());
    /// assert!(!access.is_open());
    /// assert!(access.pause(StoreProbeDuty::Own, 1.0) <= Duration::from_millis(100));
    /// assert!(!access.record_failure());
    /// let told = access.pause(StoreProbeDuty::ByRelay, 0.0);
    /// assert!(told > access.pause(StoreProbeDuty::Own, 1.0));
    /// ```
    pub fn pause(&self, duty: StoreProbeDuty, share: f64) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(10);
        let pause = PAUSE_FIRST * (1 << doublings);
        let pause = match duty {
            StoreProbeDuty::Own => pause.min(PAUSE_MAX),
            StoreProbeDuty::Alone => pause.min(PAUSE_ALONE),
            StoreProbeDuty::ByRelay if doublings > 0 => PAUSE_TOLD,
            StoreProbeDuty::ByRelay => pause,
        };
        pause.mul_f64(0.5 + 0.5 * share)
    }
}
