//! Key of a node's response counts.

use geranium_node::config::RequestKind;
use serde::{Deserialize, Serialize};

/// Service and request kind by which a node counts responses.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TrafficKey {
    /// Name of the service.
    pub service: String,
    /// Kind of the requests: how long their responses are, and whether they may
    /// be repeated.
    pub kind: RequestKind,
}
