//! Presets in a few numbers.

use std::fmt;

use geranium_model::Preset;
use serde::Serialize;

/// Digest and size of a preset.
#[derive(Debug, Clone, Serialize)]
pub struct PresetSummary {
    pub digest: String,
    pub services: usize,
    pub routes: usize,
    pub bytes: usize,
}

impl From<&Preset> for PresetSummary {
    fn from(preset: &Preset) -> Self {
        Self {
            digest: preset.digest().to_string(),
            services: preset.document().services.len(),
            routes: preset.routes().len(),
            bytes: preset.document().canonical_bytes().len(),
        }
    }
}

impl fmt::Display for PresetSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            digest,
            services,
            routes,
            bytes,
        } = self;
        write!(
            f,
            "{services} services, {routes} routes, {bytes} bytes, content {digest}"
        )
    }
}
