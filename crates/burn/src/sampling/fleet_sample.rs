//! Counts of the whole fleet at one moment.

use serde::{Deserialize, Serialize};

use super::{MissingNode, Objectives};
use crate::NodeReading;

/// What the nodes counted until one moment, and what was promised then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSample {
    /// Wall clock of the operator's machine in milliseconds since the Unix
    /// epoch: samples of several runs have no other clock in common.
    pub at_ms: u64,
    /// Newest version that a node follows.
    pub version: u64,
    /// Objectives in force.
    pub objectives: Objectives,
    /// Nodes that were read, by instance.
    pub nodes: Vec<NodeReading>,
    /// Nodes that weren't.
    pub missing: Vec<MissingNode>,
}
