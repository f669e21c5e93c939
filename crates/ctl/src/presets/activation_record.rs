//! Past activations.

use std::fmt;

use geranium_node::{config::ConfigVersion, store::StoreEra};
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
    /// Era of the store in which it was acknowledged; 0 when that wasn't told.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
}

impl fmt::Display for ActivationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {}: {}, {}",
            self.version, self.preset, self.stamp
        )?;
        if !self.era.is_none() {
            write!(f, ", store era {}", self.era)?;
        }
        Ok(())
    }
}
