//! What is known about a failed write.

use strum::{Display, IntoStaticStr};

/// Whether a write that failed took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WriteEffect {
    /// Certain: the store never had the whole request, or refused it.
    NotWritten,
    /// It may have taken effect, or may yet.
    Unknown,
}
