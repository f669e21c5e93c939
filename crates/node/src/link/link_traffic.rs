//! Kinds of traffic on the link.

use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

/// Kind of traffic on the link between instances.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkTraffic {
    /// A long response of the local backend server to another node.
    LongAway,
    /// The body of a short response to another node.
    Short,
    /// The head of a response to another node, unless it is a refusal.
    Overhead,
    /// A refusal sent to another node, which is a head without a body.
    Refusal,
    /// Head and body of a request to another node.
    Request,
}
