//! Counts of the whole fleet at one moment.

use std::collections::BTreeMap;

use geranium_model::{Preset, PresetVersion, ServiceName, ServiceObjective};
use serde::{Deserialize, Serialize};

use super::MissingNode;
use crate::NodeReading;

/// Objective of each service.
pub type Objectives = BTreeMap<ServiceName, ServiceObjective>;

/// What the nodes counted until one moment, and what was promised then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSample {
    /// Wall clock of the operator's machine in milliseconds since the Unix
    /// epoch: samples of several runs have no other clock in common.
    pub at_ms: u64,
    /// Version in force; 0 when the objectives come from a file.
    pub version: PresetVersion,
    /// Objectives in force.
    pub objectives: Objectives,
    /// Nodes that were read, by instance.
    pub nodes: Vec<NodeReading>,
    /// Nodes that weren't.
    pub missing: Vec<MissingNode>,
}

/// Collects the objectives of a preset's services.
///
/// # Examples
///
/// ```
/// use geranium_model::{Preset, PresetDocument};
///
/// let preset = Preset::try_from(PresetDocument::default())?;
/// assert!(geranium_burn::objectives_of(&preset).is_empty());
/// # Ok::<(), geranium_model::DocumentError>(())
/// ```
pub fn objectives_of(preset: &Preset) -> Objectives {
    let services = preset.services();
    services
        .map(|policy| (policy.name.clone(), policy.objective))
        .collect()
}
