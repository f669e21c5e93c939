//! Sample of the whole fleet.

use serde::{Deserialize, Serialize};

use super::{MissingNode, Objectives};
use crate::NodeReading;

/// Counts of all nodes at one time, with the objectives then in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSample {
    /// Time of the sample, in milliseconds since the Unix epoch.
    ///
    /// The time is read from the wall clock of the operator's machine, the only
    /// clock that samples of several runs have in common.
    pub at_ms: u64,
    /// Newest configuration version in force at any node.
    pub version: u64,
    /// Objectives by service.
    pub objectives: Objectives,
    /// Readings of the nodes that responded, ordered by instance.
    pub nodes: Vec<NodeReading>,
    /// Nodes that couldn't be read.
    pub missing: Vec<MissingNode>,
}
