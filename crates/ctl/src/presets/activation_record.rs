//! Past activations.

use std::fmt;

use geranium_node::config::ConfigVersion;
use serde::{Deserialize, Serialize};

use super::PresetName;
use crate::WriteStamp;

/// One activation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Version that it put in force.
    pub version: ConfigVersion,
    /// Preset.
    pub preset: PresetName,
    /// Who did it, and when.
    pub stamp: WriteStamp,
}

impl fmt::Display for ActivationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {}: {}, {}",
            self.version, self.preset, self.stamp
        )
    }
}
