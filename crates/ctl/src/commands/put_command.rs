//! `check` and `put`.

use std::{fmt, path::Path};

use geranium_model::{ContentDigest, PresetName};
use serde::Serialize;

use super::summary::PresetSummary;
use crate::{CheckedFile, CtlError, PresetCatalogue, Session};

/// What `check` prints.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    #[serde(flatten)]
    summary: PresetSummary,
}

/// What `put` prints.
#[derive(Debug, Serialize)]
pub struct PutReport {
    preset: String,
    operation: String,
    unchanged: bool,
    answered: bool,
    #[serde(flatten)]
    summary: PresetSummary,
}

pub fn check(file: &Path) -> Result<CheckReport, CtlError> {
    let checked = CheckedFile::try_from(file)?;
    let summary = PresetSummary::from(checked.preset());
    Ok(CheckReport { summary })
}

pub fn put(
    session: &Session,
    name: &PresetName,
    file: &Path,
    expected: Option<ContentDigest>,
) -> Result<PutReport, CtlError> {
    let checked = CheckedFile::try_from(file)?;
    let catalogue = PresetCatalogue::new(session.store()?, session.patience());
    let stored = catalogue.put(name, checked.preset(), expected, &session.stamp()?)?;
    Ok(PutReport {
        preset: name.to_string(),
        operation: stored.pointer.operation.to_string(),
        unchanged: stored.unchanged,
        answered: stored.answered,
        summary: checked.preset().into(),
    })
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "good: {}", self.summary)
    }
}

impl fmt::Display for PutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = if self.unchanged {
            "already stored"
        } else {
            "stored"
        };
        writeln!(f, "{verb} {}: {}", self.preset, self.summary)?;
        if !self.answered {
            writeln!(
                f,
                "the platform's answer was lost; the own write was recognised"
            )?;
        }
        writeln!(f, "not in force until `activate {}`", self.preset)
    }
}
