//! Names of the keys kept in the platform's key-value service.

use crate::{ContentDigest, DataCentre, PresetName};

/// The one key that names the preset in force.
pub const IN_FORCE: &str = "geranium/in-force";
/// Prefix of the activation history.
pub const HISTORY_PREFIX: &str = "geranium/history/";
/// Prefix of the operators' named presets.
pub const PRESETS_PREFIX: &str = "geranium/presets/";

/// Key of a preset document, by the digest of its canonical bytes.
///
/// # Examples
///
/// ```
/// use geranium_model::{ContentDigest, platform_keys};
///
/// let key = platform_keys::content(ContentDigest::of(b""));
/// assert!(key.starts_with("geranium/content/e3b0c442"));
/// ```
pub fn content(digest: ContentDigest) -> String {
    format!("geranium/content/{digest}")
}

/// Key that maps a preset's name to the digest of its newest content.
pub fn preset(name: &PresetName) -> String {
    format!("{PRESETS_PREFIX}{name}")
}

/// Key that lists a few addresses through which a newcomer can join.
pub fn seeds(data_centre: &DataCentre) -> String {
    format!("geranium/seeds/{data_centre}")
}

/// Key of one activation in the history; sorts by version.
pub fn history(version: crate::PresetVersion) -> String {
    format!("{HISTORY_PREFIX}{:020}", version.get())
}
