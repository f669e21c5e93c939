//! Records of past activations.

use std::fmt;

use geranium_node::{config::ConfigVersion, store::StoreEra};
use serde::{Deserialize, Serialize};

use super::PresetName;
use crate::WriteStamp;

/// Record of an activation in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Version that the activation put in force.
    pub version: ConfigVersion,
    /// Name of the activated preset.
    pub preset: PresetName,
    /// Change of an account's keys in the configuration that was in force before; none for an
    /// activation of the preset.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<String>,
    /// Operator, time and identifier of the write.
    pub stamp: WriteStamp,
    /// Era of the store when the configuration was read before the write.
    ///
    /// The era is 0 if the store didn't report one, or if there was no configuration yet.
    #[serde(default, skip_serializing_if = "StoreEra::is_none")]
    pub era: StoreEra,
}

impl fmt::Display for ActivationRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {}: {}, ", self.version, self.preset)?;
        if let Some(change) = &self.change {
            write!(f, "{change}, ")?;
        }
        write!(f, "{}", self.stamp)?;
        if !self.era.is_none() {
            write!(f, ", store era {}", self.era)?;
        }
        Ok(())
    }
}
