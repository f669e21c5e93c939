//! Kinds of calls, which have rates of their own.

use serde::Serialize;
use strum::{Display, IntoStaticStr, VariantArray};

/// Kind of a call, for the counts and the rate ceilings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A range read.
    Read,
    /// A transaction, or a lease granted, kept or revoked.
    Write,
    /// A watch, counted when it starts.
    Watch,
}
