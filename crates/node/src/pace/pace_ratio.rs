//! How long work takes at a backend server now, compared with usual.

use std::time::Duration;

use snafu::Snafu;

/// Bounds of a pace in percent. Beyond them, a pace is a mistake.
const PERCENT_BOUNDS: std::ops::RangeInclusive<f64> = 1.0..=10_000.0;
/// Percent of the usual pace.
const USUAL_PERCENT: f64 = 100.0;
/// Time in which the difference of a reported pace from the usual one halves.
const HALF_LIFE: Duration = Duration::from_millis(300);
/// Time for which a reported pace is used.
pub(super) const VALID_TIME: Duration = Duration::from_millis(600);

/// How long work takes at a backend server now, compared with usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceRatio {
    percent: u32,
}

/// A pace that isn't a number of percent, or out of bounds.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("the pace isn't a number of percent between 1 and 10,000"))]
pub struct PaceError;

impl TryFrom<f64> for PaceRatio {
    type Error = PaceError;

    /// Checks a pace in percent, which is rounded to whole percent.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::pace::PaceRatio;
    ///
    /// assert_eq!(PaceRatio::try_from(250.0).map(PaceRatio::factor), Ok(2.5));
    /// assert!(PaceRatio::try_from(0.0).is_err());
    /// ```
    fn try_from(percent: f64) -> Result<Self, PaceError> {
        if !PERCENT_BOUNDS.contains(&percent) {
            return Err(PaceError);
        }
        let percent = percent.round() as u32;
        Ok(Self { percent })
    }
}

impl PaceRatio {
    /// Returns the pace with this factor, rounded to whole percent; none if it is out of bounds.
    pub fn from_factor(factor: f64) -> Option<Self> {
        Self::try_from(factor * USUAL_PERCENT).ok()
    }

    /// Returns the pace in percent; 100 is usual.
    pub const fn percent(self) -> u32 {
        self.percent
    }

    /// Returns the run time as a multiple of the usual one.
    pub fn factor(self) -> f64 {
        f64::from(self.percent) / USUAL_PERCENT
    }

    /// Returns the factor that is expected `age` after the pace was reported.
    ///
    /// The pace may change many times a second, so an old report says little: the difference from
    /// the usual pace halves every 0.3 s, and after 0.6 s the usual one is expected.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::pace::PaceRatio;
    ///
    /// let pace = PaceRatio::try_from(300.0)?;
    /// assert_eq!(pace.factor_after(Duration::from_millis(300)), 2.0);
    /// assert_eq!(pace.factor_after(Duration::from_millis(700)), 1.0);
    /// # Ok::<(), geranium_node::pace::PaceError>(())
    /// ```
    pub fn factor_after(self, age: Duration) -> f64 {
        if age > VALID_TIME {
            return 1.0;
        }
        let halvings = age.as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + (self.factor() - 1.0) * (-halvings).exp2()
    }
}
