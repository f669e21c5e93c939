//! `list`.

use std::fmt;

use geranium_model::InForce;
use serde::Serialize;

use crate::{
    CtlError, PresetCatalogue, PresetPointer, Session, presets::read_in_force, utc_time::utc_time,
};

/// What `list` prints.
#[derive(Debug, Serialize)]
pub struct ListReport {
    presets: Vec<ListRow>,
}

#[derive(Debug, Serialize)]
struct ListRow {
    preset: String,
    digest: String,
    operator: String,
    written_at: String,
    in_force: bool,
    /// In force with other content than the name stands for now.
    edited_since: bool,
}

impl ListRow {
    fn new(pointer: &PresetPointer, in_force: Option<&InForce>) -> Self {
        let chosen = in_force.filter(|record| record.preset == pointer.preset);
        Self {
            preset: pointer.preset.to_string(),
            digest: pointer.digest.to_string(),
            operator: pointer.operator.clone(),
            written_at: utc_time(pointer.written_at_ms),
            in_force: chosen.is_some(),
            edited_since: chosen.is_some_and(|record| record.digest != pointer.digest),
        }
    }
}

pub fn list(session: &Session) -> Result<ListReport, CtlError> {
    let store = session.store()?;
    let pointers = PresetCatalogue::new(store, session.patience()).list()?;
    let in_force = read_in_force(store)?;
    let row = |pointer| ListRow::new(pointer, in_force.as_ref());
    Ok(ListReport {
        presets: pointers.iter().map(row).collect(),
    })
}

impl fmt::Display for ListReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.presets.is_empty() {
            return writeln!(f, "no presets are stored");
        }
        for row in &self.presets {
            let mark = match (row.in_force, row.edited_since) {
                (false, _) => "",
                (true, false) => " (in force)",
                (true, true) => " (in force, edited since)",
            };
            let ListRow {
                preset,
                operator,
                written_at,
                digest,
                ..
            } = row;
            writeln!(
                f,
                "{preset}{mark}: stored by {operator} at {written_at}, content {digest}"
            )?;
        }
        Ok(())
    }
}
