//! Preset documents in files.

use std::{fs, path::Path};

use geranium_model::{DocumentError, Preset, PresetDocument};
use snafu::ResultExt;

use super::field_lines::FieldLines;
use crate::{CtlError, ctl_error::FileSnafu};

/// A file whose document passed every check.
#[derive(Debug, Clone)]
pub struct CheckedFile {
    preset: Preset,
}

impl CheckedFile {
    /// Returns the preset.
    pub const fn preset(&self) -> &Preset {
        &self.preset
    }
}

impl TryFrom<&Path> for CheckedFile {
    type Error = CtlError;

    fn try_from(path: &Path) -> Result<Self, CtlError> {
        let text = fs::read(path).context(FileSnafu { path })?;
        let bad = |line| {
            move |source| CtlError::BadFile {
                path: path.to_owned(),
                line,
                source,
            }
        };
        let document = PresetDocument::parse(&text).map_err(bad(None))?;
        let preset = Preset::try_from(document.clone())
            .map_err(|source| bad(line_of(&text, &document, &source))(source))?;
        Ok(Self { preset })
    }
}

fn line_of(text: &[u8], document: &PresetDocument, error: &DocumentError) -> Option<usize> {
    let path = path_of(document, error)?;
    FieldLines::scan(text).line(&path)
}

/// Translates the field that a check names into a path of the JSON text.
fn path_of(document: &PresetDocument, error: &DocumentError) -> Option<String> {
    match error {
        DocumentError::TooLarge { .. } | DocumentError::Malformed { .. } => None,
        DocumentError::BadName { field, .. } | DocumentError::OutOfRange { field, .. } => {
            Some(indexed(document, field).unwrap_or_else(|| field.clone()))
        }
        DocumentError::MissingService { route, .. } => {
            let index = document
                .routes
                .iter()
                .position(|entry| entry.name == *route)?;
            Some(format!("routes[{index}].service"))
        }
        DocumentError::Duplicate { field, name } => second(document, field, name),
    }
}

fn indexed(document: &PresetDocument, field: &str) -> Option<String> {
    let services = document.services.iter().map(|entry| entry.name.as_str());
    let routes = document.routes.iter().map(|entry| entry.name.as_str());
    entry_path("services", services, field).or_else(|| entry_path("routes", routes, field))
}

/// Finds the entry that `field` names; names may hold dots, so the longest
/// that fits is meant.
fn entry_path<'a>(list: &str, names: impl Iterator<Item = &'a str>, field: &str) -> Option<String> {
    let tail = field.strip_prefix(list)?.strip_prefix('.')?;
    let (index, name) = names
        .enumerate()
        .filter(|(_, name)| {
            let rest = tail.strip_prefix(*name);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
        .max_by_key(|(_, name)| name.len())?;
    Some(format!("{list}[{index}]{}", &tail[name.len()..]))
}

/// Finds the later one of two entries that share a name or prefix.
fn second(document: &PresetDocument, field: &str, name: &str) -> Option<String> {
    let routes = &document.routes;
    let (list, found, key) = match field {
        "services" => {
            let found = document
                .services
                .iter()
                .rposition(|entry| entry.name == name);
            ("services", found, "name")
        }
        "routes" => (
            "routes",
            routes.iter().rposition(|entry| entry.name == name),
            "name",
        ),
        _ => {
            let found = routes.iter().rposition(|entry| entry.path_prefix == name);
            ("routes", found, "path_prefix")
        }
    };
    Some(format!("{list}[{}].{key}", found?))
}
