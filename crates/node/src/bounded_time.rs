//! Times that are read from outside.

use std::time::Duration;

use snafu::Snafu;

/// Longest time in seconds; a longer one is reduced to it.
///
/// One year is longer than a process runs, and sums of such times are far from an overflow of
/// [`Duration`] and [`Instant`](std::time::Instant), which would end the process.
const TIME_MAX_S: f64 = 31_536_000.0;

/// Time that a caller, a backend server, the store or an operator stated, one year at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BoundedTime(Duration);

/// Failure to read a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not a finite time of zero seconds or more"))]
pub struct BoundedTimeError;

impl TryFrom<f64> for BoundedTime {
    type Error = BoundedTimeError;

    /// Reads a time in seconds.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::bounded_time::{BoundedTime, BoundedTimeError};
    ///
    /// let time = |seconds| BoundedTime::try_from(seconds).map(Duration::from);
    /// assert_eq!(time(2.5), Ok(Duration::from_millis(2_500)));
    /// assert_eq!(time(1e300), Ok(Duration::from_hours(365 * 24)));
    /// assert_eq!(time(-1.0), Err(BoundedTimeError));
    /// assert_eq!(time(f64::INFINITY), Err(BoundedTimeError));
    /// ```
    fn try_from(seconds: f64) -> Result<Self, BoundedTimeError> {
        if !seconds.is_finite() {
            return Err(BoundedTimeError);
        }
        let time = Duration::try_from_secs_f64(seconds.min(TIME_MAX_S));
        time.map(Self).or(Err(BoundedTimeError))
    }
}

impl From<BoundedTime> for Duration {
    fn from(time: BoundedTime) -> Self {
        time.0
    }
}
