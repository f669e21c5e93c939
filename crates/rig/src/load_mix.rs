//! A mix of requests for a preset's routes.

use std::{fs, path::Path};

use geranium_load::MixEntry;
use geranium_model::{PresetDocument, RequestClass, RouteDocument};
use snafu::ResultExt;

use crate::{RigError, rig_error::FileSnafu};

/// Of eleven requests eight are short and two are orders: a till looks up
/// several prices for each order, and files are rare.
const SHORT_WEIGHT: u32 = 8;
const ONCE_WEIGHT: u32 = 2;
const BULK_WEIGHT: u32 = 1;
/// Length of a file: a shop's price list.
const BULK_BYTES: u64 = 200_000;

/// Makes one entry for each route of the preset in a file.
///
/// # Errors
///
/// Returns an error if the file can't be read or isn't a preset.
///
/// # Examples
///
/// ```
/// assert!(geranium_rig::load_mix("no-such-preset.json").is_err());
/// ```
pub fn load_mix(path: impl AsRef<Path>) -> Result<Vec<MixEntry>, RigError> {
    let path = path.as_ref();
    let text = fs::read(path).context(FileSnafu { path })?;
    let parsed = PresetDocument::parse(&text);
    let document = parsed.map_err(|error| RigError::Preset {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(document.routes.iter().map(entry_of).collect())
}

fn entry_of(route: &RouteDocument) -> MixEntry {
    let prefix = route.path_prefix.trim_end_matches('/');
    MixEntry {
        class: route.class,
        weight: match route.class {
            RequestClass::Short => SHORT_WEIGHT,
            RequestClass::Once => ONCE_WEIGHT,
            RequestClass::Bulk => BULK_WEIGHT,
        },
        path: match route.class {
            RequestClass::Bulk => prefix.to_owned(),
            _ => format!("{prefix}/one"),
        },
        service: route.service.clone(),
        bytes: BULK_BYTES,
    }
}
