//! Rate of requests.

use std::num::ParseFloatError;

use snafu::Snafu;

/// Thousandths of a request in a request.
const MILLIS: f64 = 1_000.0;

/// Rate of requests, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u64);

/// Why a text isn't a rate.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
pub enum RateError {
    /// The text isn't a decimal number.
    #[snafu(display("not a number: {source}"), context(false))]
    Number {
        /// Error of the number parser.
        source: ParseFloatError,
    },
    /// The number is negative, infinite or not a number.
    #[snafu(display("not a rate: {per_second}"))]
    Range {
        /// The number, as text.
        per_second: String,
    },
}

impl RequestRate {
    /// Returns the rate of `millis` thousandths of a request per second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / MILLIS
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RateError;

    /// Parses a decimal number of requests per second. Digits after the third decimal place are
    /// cut off.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::rate_limit::RequestRate;
    ///
    /// let rate = RequestRate::try_from("20.3")?;
    /// assert_eq!(rate.millis(), 20_300);
    /// assert!(RequestRate::try_from("-1").is_err());
    /// # Ok::<(), geranium_node::rate_limit::RateError>(())
    /// ```
    fn try_from(text: &str) -> Result<Self, RateError> {
        let per_second: f64 = text.trim().parse()?;
        if !per_second.is_finite() || per_second < 0.0 {
            let per_second = per_second.to_string();
            return Err(RateError::Range { per_second });
        }
        Ok(Self((per_second * MILLIS) as u64))
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
