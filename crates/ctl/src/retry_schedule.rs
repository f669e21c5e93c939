//! Schedule of the retries of a write.

use std::time::Duration;

/// Pause before the second try; each later pause is twice as long.
///
/// Five tries then span 6 s, about as long as an operator waits for a command.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// Number of tries of a write, and the pauses between them.
#[derive(Debug, Clone, Copy)]
pub struct RetrySchedule {
    tries: u32,
    first_pause: Duration,
}

impl RetrySchedule {
    /// Creates a schedule with this many tries, at least one.
    pub fn new(tries: u32) -> Self {
        Self {
            tries: tries.max(1),
            first_pause: FIRST_PAUSE,
        }
    }

    /// Creates a schedule with this many tries and no pauses, for tests.
    pub fn without_pause(tries: u32) -> Self {
        Self {
            first_pause: Duration::ZERO,
            ..Self::new(tries)
        }
    }

    /// Returns the pause before each try; the first has none.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::RetrySchedule;
    ///
    /// let pauses: Vec<u128> = RetrySchedule::new(4).pauses().map(|pause| pause.as_millis()).collect();
    /// assert_eq!(pauses, [0, 400, 800, 1_600]);
    /// ```
    pub fn pauses(self) -> impl Iterator<Item = Duration> {
        (0..self.tries).map(move |number| match number.checked_sub(1) {
            Some(doublings) => self.first_pause * 2_u32.saturating_pow(doublings),
            None => Duration::ZERO,
        })
    }
}
