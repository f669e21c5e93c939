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
    /// The body of a short answer to another node.
    Short,
    /// The body of a short answer to a caller on this machine.
    ShortHome,
    /// The head of an answer to another node, unless it is a refusal.
    Overhead,
    /// The head of an answer to a caller on this machine.
    OverheadHome,
    /// A refusal sent to another node, which is a head without a body.
    Refusal,
    /// A request to another node, head and body.
    Request,
}
