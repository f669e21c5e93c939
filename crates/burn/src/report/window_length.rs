//! Length of the budget window, as operators write it.

use std::{fmt, str::FromStr, time::Duration};

use snafu::{OptionExt, Snafu};

/// Units of a length with their seconds, the largest first.
const UNITS: [(&str, u64); 4] = [("d", 86_400), ("h", 3_600), ("m", 60), ("s", 1)];
/// Shortest budget window; its shortest fast window, 1/8640 of it, is 7 ms.
const MIN_SECONDS: u64 = 60;
/// Longest budget window, a year; budgets usually cover a month or a quarter.
const MAX_SECONDS: u64 = 366 * 86_400;

/// Length of the budget window, from a minute to a year.
///
/// # Examples
///
/// ```
/// use geranium_burn::WindowLength;
///
/// let window: WindowLength = "30d".parse()?;
/// assert_eq!(window.duration().as_secs(), 2_592_000);
/// assert_eq!(WindowLength::text(90 * 60_000), "90m");
/// # Ok::<(), geranium_burn::WindowLengthError>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowLength(Duration);

/// Error for a text that isn't a length in the allowed range.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` isn't a whole number with a unit (s, m, h or d) from 60s to 366d"))]
pub struct WindowLengthError {
    text: String,
}

impl WindowLength {
    /// Returns the length as a `Duration`.
    pub const fn duration(self) -> Duration {
        self.0
    }

    /// Formats milliseconds in the largest unit that divides them.
    ///
    /// A length that isn't a whole number of seconds is written as a decimal
    /// fraction of seconds, and 0 as `0s`.
    pub fn text(ms: u64) -> String {
        if !ms.is_multiple_of(1_000) || ms == 0 {
            return format!("{}s", ms as f64 / 1_000.0);
        }
        let seconds = ms / 1_000;
        let fits = |unit: &&(&str, u64)| seconds.is_multiple_of(unit.1);
        let (unit, unit_seconds) = UNITS.iter().find(fits).unwrap_or(&("s", 1));
        format!("{}{unit}", seconds / unit_seconds)
    }
}

impl FromStr for WindowLength {
    type Err = WindowLengthError;

    fn from_str(text: &str) -> Result<Self, WindowLengthError> {
        let unit = UNITS.iter().find(|(unit, _)| text.ends_with(unit));
        let seconds = unit.and_then(|(unit, unit_seconds)| {
            let count: u64 = text.strip_suffix(unit)?.parse().ok()?;
            count.checked_mul(*unit_seconds)
        });
        let in_range = seconds.filter(|seconds| (MIN_SECONDS..=MAX_SECONDS).contains(seconds));
        let seconds = in_range.context(WindowLengthSnafu { text })?;
        Ok(Self(Duration::from_secs(seconds)))
    }
}

impl fmt::Display for WindowLength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&Self::text(self.0.as_millis() as u64))
    }
}
