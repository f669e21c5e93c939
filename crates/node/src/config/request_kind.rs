//! Kinds of requests, by whether they may run more than once.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Kind of a route's requests, by whether they may run more than once.
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
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// Idempotent request with a short response.
    Lookup,
    /// Idempotent request with a long response.
    Bulk,
    /// Request that runs at most once for each of the caller's attempts.
    Once,
}

impl RequestKind {
    /// Returns whether a request may run more than once without harm.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Once)
    }
}
