//! Versions of the preset in force.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of the fleet's configuration; each activation adds one.
///
/// # Examples
///
/// ```
/// use geranium_model::PresetVersion;
///
/// assert_eq!(PresetVersion::NONE.next(), PresetVersion::new(1));
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PresetVersion(u64);

impl PresetVersion {
    /// The version before anything was activated.
    pub const NONE: Self = Self(0);

    /// Wraps a raw version number.
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version that the next activation gets.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for PresetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
