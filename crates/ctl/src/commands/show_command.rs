//! `show`.

use std::fmt;

use geranium_model::{PresetDocument, PresetName};
use serde::Serialize;

use crate::{CtlError, PresetCatalogue, Session, utc_time::utc_time};

/// What `show` prints.
#[derive(Debug, Serialize)]
pub struct ShowReport {
    preset: String,
    digest: String,
    operator: String,
    operation: String,
    written_at: String,
    document: PresetDocument,
}

pub fn show(session: &Session, name: &PresetName) -> Result<ShowReport, CtlError> {
    let catalogue = PresetCatalogue::new(session.store()?, session.patience());
    let (pointer, preset) = catalogue.preset(name)?;
    Ok(ShowReport {
        preset: pointer.preset.to_string(),
        digest: pointer.digest.to_string(),
        operator: pointer.operator,
        operation: pointer.operation.to_string(),
        written_at: utc_time(pointer.written_at_ms),
        document: preset.document().clone(),
    })
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            preset,
            digest,
            operator,
            operation,
            written_at,
            document,
        } = self;
        writeln!(
            f,
            "{preset}: stored by {operator} at {written_at}, operation {operation}"
        )?;
        writeln!(f, "content {digest}")?;
        let text = serde_json::to_string_pretty(document).map_err(|_json| fmt::Error)?;
        writeln!(f, "{text}")
    }
}
