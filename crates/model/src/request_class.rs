//! Classes of requests, which admission treats differently.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Class of a route's requests.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Must run at most once: order confirmations and storm alerts.
    Once,
    /// Short and repeatable: prices and current indices.
    Short,
    /// Long: catalogues and archives.
    Bulk,
}
