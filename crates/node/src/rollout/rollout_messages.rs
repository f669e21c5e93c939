//! Messages between nodes about a rollout.

use serde::{Deserialize, Serialize};

use super::{RolloutRecord, RunCounts};
use crate::member::EndpointStart;

/// Question of the deciding node to a node beside a backend server of the service, or of such a node
/// to the deciding one.
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
    /// State of the rollout at the responding node; none if it is that of the question. Nodes of
    /// earlier builds don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<RolloutState>,
}

/// State of a rollout as a node knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// State of the rollout.
    pub record: RolloutRecord,
    /// Revision of the record in the store; 0 while the store doesn't hold it.
    pub revision: u64,
}
