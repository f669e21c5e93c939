//! Records of named presets in the store.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{PresetDocument, PresetName};
use crate::WriteStamp;

/// Record of a named preset, as the store holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresetRecord {
    /// Name of the preset.
    pub name: PresetName,
    /// Operator, time and identifier of the write that stored this content.
    pub stamp: WriteStamp,
    /// Content of the preset.
    pub document: PresetDocument,
}

impl fmt::Display for PresetRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (services, routes) = (self.document.services.len(), self.document.routes.len());
        write!(
            f,
            "{}: {services} services, {routes} routes, {}",
            self.name, self.stamp
        )
    }
}
