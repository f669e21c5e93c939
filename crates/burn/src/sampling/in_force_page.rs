//! Answer of a node's `GET /preset`.

use geranium_model::{PresetDocument, PresetName, PresetVersion};
use serde::Deserialize;

/// The preset that a node follows.
#[derive(Debug, Clone, Deserialize)]
pub struct InForcePage {
    /// Version in force.
    pub version: PresetVersion,
    /// Name of the preset.
    pub preset: PresetName,
    /// Its document, which the node checked.
    pub document: PresetDocument,
}
