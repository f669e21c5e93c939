//! What counts are kept apart by.

use geranium_node::config::RequestKind;
use serde::{Deserialize, Serialize};

/// A service and a kind of callers' requests to it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TrafficKey {
    /// Service.
    pub service: String,
    /// What may be repeated.
    pub kind: RequestKind,
}
