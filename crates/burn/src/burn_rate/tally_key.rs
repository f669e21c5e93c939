//! Key of a service's tallies.

use geranium_node::config::RequestKind;

/// Data centre and request kind by which a service's tallies are kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TallyKey {
    /// Data centre of the node that sent the caller the final response.
    pub data_centre: String,
    /// Kind of the requests: how long their responses are, and whether they may
    /// be repeated.
    pub kind: RequestKind,
}
