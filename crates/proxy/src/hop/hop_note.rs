//! What one node tells another of a request.

use std::{num::ParseIntError, str::FromStr, time::Duration};

use snafu::Snafu;

use crate::config::ConfigVersion;

/// What one node tells another of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HopNote {
    /// Rank of the route.
    pub rank: u8,
    /// Hash of the route.
    pub class: u64,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// Time left in which the answer is of full use.
    pub useful: Duration,
    /// Version of the configuration that the sender holds; 0 for none.
    pub version: ConfigVersion,
}

/// A note that can't be read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum HopNoteError {
    /// A figure is missing.
    #[snafu(display("a figure is missing"))]
    Missing,
    /// A figure isn't a number.
    #[snafu(display("{source}"), context(false))]
    Figure {
        /// What the parser met.
        source: ParseIntError,
    },
}

impl std::fmt::Display for HopNote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let useful_ms = self.useful.as_millis();
        let repeats = u8::from(self.idempotent);
        write!(
            f,
            "{},{:x},{repeats},{useful_ms},{}",
            self.rank, self.class, self.version
        )
    }
}

impl FromStr for HopNote {
    type Err = HopNoteError;

    /// Reads what [`Display`](std::fmt::Display) wrote.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_proxy::hop::HopNote;
    ///
    /// let note: HopNote = "2,ff,1,380,12".parse()?;
    /// assert_eq!((note.rank, note.class, note.version.0), (2, 255, 12));
    /// assert_eq!(note.to_string(), "2,ff,1,380,12");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, HopNoteError> {
        let mut figures = text.split(',');
        let mut next = || figures.next().ok_or(HopNoteError::Missing);
        Ok(Self {
            rank: next()?.parse()?,
            class: u64::from_str_radix(next()?, 16)?,
            idempotent: next()?.parse::<u8>()? != 0,
            useful: Duration::from_millis(next()?.parse()?),
            version: ConfigVersion(next()?.parse()?),
        })
    }
}
