//! The record that names the preset in force.

use serde::{Deserialize, Serialize};

use crate::{ContentDigest, OperationId, PresetName, PresetVersion};

/// Content of the platform's single `in-force` key.
///
/// It is moved only by compare-and-swap, and each move adds one to `version`,
/// so two records with the same version are the same record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Version of this activation.
    pub version: PresetVersion,
    /// Preset that the operator chose.
    pub preset: PresetName,
    /// Digest of the preset's canonical bytes.
    pub digest: ContentDigest,
    /// Write that made this record.
    pub operation: OperationId,
    /// Operator who made it, for people to read.
    pub operator: String,
    /// Wall clock of the write in milliseconds since the Unix epoch, for
    /// people to read: nothing decides by it.
    pub written_at_ms: u64,
}
