//! Key of a service's tallies.

use geranium_node::config::RequestKind;

/// Data centre of the caller's node and request kind of the route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TallyKey {
    /// Data centre of the node that sent the caller the final response.
    pub data_centre: String,
    /// Kind of the requests: how long their responses are, and whether they may
    /// be repeated.
    pub kind: RequestKind,
}
