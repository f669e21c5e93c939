//! What a request asks of the stand-in.

use super::RequestDirections;

/// A request's path, told apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RequestTarget {
    /// `/.backend/health`.
    Health,
    /// `/.backend/journal`.
    Journal,
    /// `/.backend/faults`.
    Faults,
    /// `/.backend/cancel/REQUEST_ID`.
    Cancel(String),
    /// Anything else.
    Work(RequestDirections),
}

impl From<&str> for RequestTarget {
    fn from(url: &str) -> Self {
        match url.strip_prefix("/.backend/") {
            Some("health") => Self::Health,
            Some("journal") => Self::Journal,
            Some("faults") => Self::Faults,
            Some(rest) if rest.starts_with("cancel/") => {
                Self::Cancel(rest["cancel/".len()..].to_owned())
            }
            _ => Self::Work(RequestDirections::from(url)),
        }
    }
}
