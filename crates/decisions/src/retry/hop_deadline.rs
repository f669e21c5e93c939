//! Deadlines that shrink per hop.

use std::time::Duration;

/// Time kept back at each hop to carry an answer home: 0.5 ms each way between
/// data centres and 1.1 ms in the nodes, rounded up. Nine hops keep 27 ms.
const MARGIN: Duration = Duration::from_millis(3);
/// Least time worth sending on: below it the next hop could only refuse.
const USEFUL_MIN: Duration = Duration::from_millis(1);

/// Time left until the caller stops waiting.
///
/// Carried as a duration and never as a time of day, so that clocks need not
/// agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HopDeadline(Duration);

impl HopDeadline {
    /// Wraps the time left, as received from the caller.
    pub const fn new(left: Duration) -> Self {
        Self(left)
    }

    /// Returns the time left.
    pub const fn left(self) -> Duration {
        self.0
    }

    /// Returns the deadline `spent` later, for the next hop.
    ///
    /// `None` means that too little is left to send it on.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_decisions::retry::HopDeadline;
    ///
    /// let deadline = HopDeadline::new(Duration::from_millis(100));
    /// let next = deadline.next_hop(Duration::from_millis(7)).unwrap();
    /// assert_eq!(next.left(), Duration::from_millis(90));
    /// assert!(next.next_hop(Duration::from_millis(88)).is_none());
    /// ```
    #[must_use]
    pub fn next_hop(self, spent: Duration) -> Option<Self> {
        let left = self.0.checked_sub(spent.saturating_add(MARGIN))?;
        (left >= USEFUL_MIN).then_some(Self(left))
    }
}
