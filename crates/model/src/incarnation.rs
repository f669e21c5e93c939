//! Incarnations of an instance.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number that rises each time an instance starts or refutes a false report.
///
/// A node takes its first incarnation from the wall clock (milliseconds since
/// the Unix epoch). A clock that was set back is harmless: a node which hears
/// of itself under a higher incarnation raises its own above it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps a raw incarnation number.
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next higher incarnation.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_model::Incarnation;
    ///
    /// assert!(Incarnation::new(7).next() > Incarnation::new(7));
    /// ```
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
