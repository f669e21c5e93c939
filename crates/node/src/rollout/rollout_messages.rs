//! Messages between nodes about a rollout.

use serde::{Deserialize, Serialize};

use super::{RolloutRecord, RunCounts};
use crate::member::EndpointStart;

/// Question of the deciding node to a node beside a backend server of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutProbe {
    /// State of the rollout. A node that the store's updates don't reach learns it from here.
    pub record: RolloutRecord,
    /// Revision of the record in the store; 0 while the store doesn't hold it.
    pub revision: u64,
    /// Whether the response should have the counts of runs.
    pub wants_counts: bool,
}

/// Response to a [`RolloutProbe`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Start of the local backend server; none while none is known.
    pub start: Option<EndpointStart>,
    /// Whether the node decides about the rollout.
    pub decides: bool,
    /// Whether the node refuses new requests for its backend server and none runs there.
    pub is_drained: bool,
    /// Counts of runs at this start by route hash.
    pub counts: Vec<(u64, RunCounts)>,
}
