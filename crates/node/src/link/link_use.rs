//! What an answer's bytes take the link for.

use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

/// What an answer's bytes take the link for.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkUse {
    /// A long answer of the backend server here, to another node.
    LongAway,
    /// A long answer of the backend server here, to a caller on this machine.
    LongHome,
    /// A long answer of another backend server, to a caller on this machine: it has
    /// taken that one's link before.
    Forwarded,
    /// The body of any short answer.
    Short,
    /// Heads of answers, and whole requests to other nodes.
    Overhead,
}
