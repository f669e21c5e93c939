//! What an answer's bytes take the link for.

use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

/// What an answer's bytes take the link for.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkTraffic {
    /// A long answer of the backend server here, to another node.
    LongAway,
    /// The body of a short answer to another node.
    Short,
    /// The head of an answer to another node, unless it is a refusal.
    Overhead,
    /// A refusal sent to another node, which is a head without a body.
    Refusal,
    /// A request to another node, head and body.
    Request,
}
