//! The commands `check`, `put`, `list`, `show` and `diff`.

use std::{fmt, path::Path};

use geranium_node::store::MetaStore;
use serde::Serialize;

use crate::{
    CtlError, PresetCatalogue, PresetDiff, PresetDocument, PresetName, PresetRecord, PresetSource,
    Session,
};

/// Output of the command `check`.
#[derive(Debug, Serialize)]
pub struct CheckReport {
    services: usize,
    routes: usize,
}

/// Output of the command `put`.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct PutReport(PresetRecord);

/// Output of the command `list`.
#[derive(Debug, Serialize)]
pub struct ListReport {
    presets: Vec<PresetRecord>,
}

/// Output of the command `show`.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct ShowReport(PresetRecord);

pub fn check(file: &Path) -> Result<CheckReport, CtlError> {
    let document = PresetDocument::from_file(file)?;
    Ok(CheckReport {
        services: document.services.len(),
        routes: document.routes.len(),
    })
}

pub async fn put(
    session: &Session<impl MetaStore>,
    name: &PresetName,
    file: &Path,
) -> Result<PutReport, CtlError> {
    let document = PresetDocument::from_file(file)?;
    let catalogue = PresetCatalogue::new(session.store()?, session.retry_schedule);
    let stored = catalogue.put(name, document, session.stamp()?).await?;
    Ok(PutReport(stored))
}

pub async fn list(session: &Session<impl MetaStore>) -> Result<ListReport, CtlError> {
    let catalogue = PresetCatalogue::new(session.store()?, session.retry_schedule);
    Ok(ListReport {
        presets: catalogue.list().await?,
    })
}

pub async fn show(
    session: &Session<impl MetaStore>,
    name: &PresetName,
) -> Result<ShowReport, CtlError> {
    let catalogue = PresetCatalogue::new(session.store()?, session.retry_schedule);
    Ok(ShowReport(catalogue.get(name).await?))
}

pub async fn diff(
    session: &Session<impl MetaStore>,
    from: &PresetSource,
    to: &PresetSource,
) -> Result<PresetDiff, CtlError> {
    let from = load(session, from).await?;
    let to = load(session, to).await?;
    Ok(PresetDiff::between(&from, &to))
}

async fn load(
    session: &Session<impl MetaStore>,
    source: &PresetSource,
) -> Result<PresetDocument, CtlError> {
    match source {
        PresetSource::File(path) => PresetDocument::from_file(path),
        PresetSource::Named(name) => {
            let catalogue = PresetCatalogue::new(session.store()?, session.retry_schedule);
            Ok(catalogue.get(name).await?.document)
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { services, routes } = self;
        writeln!(f, "valid: {services} services, {routes} routes")
    }
}

impl fmt::Display for PutReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "stored {}", self.0)
    }
}

impl fmt::Display for ListReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.presets.is_empty() {
            return writeln!(f, "there are no presets");
        }
        let mut presets = self.presets.iter();
        presets.try_for_each(|preset| writeln!(f, "{preset}"))
    }
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.0)?;
        let text = serde_json::to_string_pretty(&self.0.document).map_err(|_json| fmt::Error)?;
        writeln!(f, "{text}")
    }
}
