//! What may be repeated.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Kind of a route's requests.
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
    /// Idempotent, with a short answer.
    Lookup,
    /// Idempotent, with a long answer.
    Bulk,
    /// Runs at most once for each of the caller's attempts.
    Once,
}

impl RequestKind {
    /// Whether a request may run more than once without harm.
    pub const fn is_idempotent(self) -> bool {
        !matches!(self, Self::Once)
    }
}
