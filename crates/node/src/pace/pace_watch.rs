//! Decides when operators are told that a backend server is slow or well again.

use std::time::Duration;

use super::PaceRatio;

/// Pace in percent from which on a backend server is slow.
const SLOW_PERCENT: u32 = 150;
/// Pace in percent up to which a slow backend server is well again. It is below that at which one
/// becomes slow, so that a pace that wavers isn't told each time.
const WELL_PERCENT: u32 = 120;
/// Shortest time between two changes that are told. A pace may change many times a second.
const TELL_INTERVAL: Duration = Duration::from_secs(10);

/// A change that operators are told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceChange {
    /// Whether the backend server is slow now.
    pub is_slow: bool,
    /// How often it became slow since the last change that was told.
    pub slow_times: u32,
}

/// Decides when operators are told that a backend server is slow or well again.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceWatch {
    is_slow: bool,
    told_slow: bool,
    told_at: Option<Duration>,
    slow_times: u32,
}

impl PaceWatch {
    /// Processes a reported pace, and returns the change to tell, if one is due.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::pace::{PaceRatio, PaceWatch};
    ///
    /// let mut watch = PaceWatch::default();
    /// let (slow, usual) = (PaceRatio::try_from(250.0)?, PaceRatio::try_from(100.0)?);
    /// assert!(watch.observe(Duration::ZERO, slow).is_some_and(|change| change.is_slow));
    /// assert_eq!(watch.observe(Duration::from_millis(600), usual), None, "it was told just now");
    /// assert!(watch.observe(Duration::from_secs(10), usual).is_some_and(|change| !change.is_slow));
    /// # Ok::<(), geranium_node::pace::PaceError>(())
    /// ```
    pub fn observe(&mut self, now: Duration, pace: PaceRatio) -> Option<PaceChange> {
        let was_slow = self.is_slow;
        self.is_slow = if was_slow {
            pace.percent() > WELL_PERCENT
        } else {
            pace.percent() >= SLOW_PERCENT
        };
        self.slow_times += u32::from(self.is_slow && !was_slow);
        let is_due = self
            .told_at
            .is_none_or(|told_at| now >= told_at + TELL_INTERVAL);
        if self.is_slow == self.told_slow || !is_due {
            return None;
        }
        self.told_slow = self.is_slow;
        self.told_at = Some(now);
        Some(PaceChange {
            is_slow: self.is_slow,
            slow_times: std::mem::take(&mut self.slow_times),
        })
    }
}
