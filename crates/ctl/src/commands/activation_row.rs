//! Activations as they are printed.

use std::fmt;

use geranium_model::InForce;
use serde::Serialize;

use crate::utc_time::utc_time;

/// An in-force record, with its digest and time readable.
#[derive(Debug, Clone, Serialize)]
pub struct ActivationRow {
    pub version: u64,
    pub preset: String,
    pub digest: String,
    pub operator: String,
    pub operation: String,
    pub written_at: String,
}

impl From<&InForce> for ActivationRow {
    fn from(record: &InForce) -> Self {
        Self {
            version: record.version.get(),
            preset: record.preset.to_string(),
            digest: record.digest.to_string(),
            operator: record.operator.clone(),
            operation: record.operation.to_string(),
            written_at: utc_time(record.written_at_ms),
        }
    }
}

impl fmt::Display for ActivationRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            preset,
            operator,
            operation,
            written_at,
            ..
        } = self;
        write!(
            f,
            "version {version}: {preset}, by {operator} at {written_at}, operation {operation}"
        )
    }
}
