//! What can be wrong with a preset document.

use snafu::Snafu;

use crate::{NameError, ResultCode};

/// A preset document that was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DocumentError {
    /// It is larger than the platform stores under one key.
    #[snafu(display("the document has {bytes} bytes; at most {max} fit"))]
    TooLarge {
        /// Size of the document in bytes.
        bytes: usize,
        /// Largest size in bytes.
        max: usize,
    },
    /// It isn't JSON of the expected shape.
    #[snafu(display("line {line}, column {column}, field `{field}`: {reason}"))]
    Malformed {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// What the parser found.
        reason: String,
    },
    /// A name breaks the naming rule.
    #[snafu(display("field `{field}`: {source}"))]
    BadName {
        /// Path of the field.
        field: String,
        /// What is wrong with the name.
        source: NameError,
    },
    /// A value is outside its range.
    #[snafu(display("field `{field}`: must be {rule}"))]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// The rule it breaks.
        rule: &'static str,
    },
    /// Two entries share a name or a path prefix.
    #[snafu(display("field `{field}`: `{name}` stands twice"))]
    Duplicate {
        /// Path of the list.
        field: &'static str,
        /// The repeated name.
        name: String,
    },
    /// A route points at a service that the document lacks.
    #[snafu(display("route `{route}` points at service `{service}`, which the preset lacks"))]
    MissingService {
        /// The route.
        route: String,
        /// The missing service.
        service: String,
    },
}

impl DocumentError {
    /// Returns the numbered code that operators are shown.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::TooLarge { .. } => ResultCode::PresetTooLarge,
            Self::Malformed { .. } => ResultCode::PresetMalformed,
            Self::BadName { .. } => ResultCode::PresetBadName,
            Self::OutOfRange { .. } => ResultCode::PresetOutOfRange,
            Self::Duplicate { .. } => ResultCode::PresetDuplicate,
            Self::MissingService { .. } => ResultCode::PresetMissingService,
        }
    }
}
