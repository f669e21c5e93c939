//! Answer of a node's `GET /status`.

use geranium_model::{
    DataCentre, Incarnation, InstanceName, MemberState, PresetName, PresetVersion, RegionName,
    ServiceName,
};
use serde::{Deserialize, Serialize};

/// What a node says of itself; fields that this client doesn't know are left
/// out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Instance beside which the node runs.
    pub instance: InstanceName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Region.
    pub region: RegionName,
    /// State in the life cycle.
    pub state: MemberState,
    /// Service, once the backend server announced itself.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Version that the node follows; `None` or 0 before the first.
    #[serde(default)]
    pub version: Option<PresetVersion>,
    /// Preset that the node follows.
    #[serde(default)]
    pub preset: Option<PresetName>,
    /// Members that the node knows.
    #[serde(default)]
    pub members: u64,
    /// Nodes that it is linked with.
    #[serde(default)]
    pub links: Vec<String>,
    /// Last configuration that it refused, with the numbered code.
    #[serde(default)]
    pub refused: Option<String>,
    /// Whether the node watches the platform for others.
    #[serde(default)]
    pub is_watcher: bool,
    /// Start of the node process.
    pub started: Incarnation,
    /// Current incarnation.
    pub incarnation: Incarnation,
}

impl NodeStatus {
    /// Returns the version that the node follows, 0 before the first.
    pub fn followed(&self) -> PresetVersion {
        self.version.unwrap_or(PresetVersion::NONE)
    }
}
