//! A named preset in the store.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{PresetDocument, PresetName};
use crate::WriteStamp;

/// What a preset's name stands for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PresetRecord {
    /// Name.
    pub name: PresetName,
    /// Who stored it, and when.
    pub stamp: WriteStamp,
    /// Content.
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
