//! What can be wrong with admission settings.

use std::{error::Error, fmt};

use geranium_model::ResultCode;

/// Admission settings that were refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionError {
    /// The backend server needs at least one slot.
    NoSlots,
    /// The bulk share isn't above 0 and at most 1.
    BulkShare(f64),
}

impl AdmissionError {
    /// Returns the numbered code that operators are shown.
    pub const fn code(&self) -> ResultCode {
        ResultCode::BadSetting
    }
}

impl fmt::Display for AdmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSlots => f.write_str("slots: must be at least 1"),
            Self::BulkShare(share) => {
                write!(f, "bulk share: must be above 0 and at most 1, not {share}")
            }
        }
    }
}

impl Error for AdmissionError {}
