//! What a service's tallies are kept apart by.

use geranium_node::config::RequestKind;

/// The data centre of the caller's node, and the route's kind.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TallyKey {
    /// Data centre of the node that gave the final answer.
    pub data_centre: String,
    /// What may be repeated.
    pub kind: RequestKind,
}
