//! Revisions of the store.

use std::fmt;

/// Position in the store's single order of writes.
///
/// # Examples
///
/// ```
/// use geranium_platform::Revision;
///
/// assert!(Revision::new(2) > Revision::NONE);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(u64);

impl Revision {
    /// Before the first write; as an expectation: the key must be absent.
    pub const NONE: Self = Self(0);
    /// A revision that no entry ever has: the largest 64-bit signed number.
    ///
    /// A compare-and-swap that expects it always conflicts.
    pub const UNREACHABLE: Self = Self(i64::MAX as u64);

    /// Wraps a raw revision.
    pub const fn new(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the raw revision.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
