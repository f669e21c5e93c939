//! The two queues that work waits in.

use geranium_model::RequestClass;

/// Queue of a class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobLane {
    /// At-most-once and short work, in one order: neither may starve the
    /// other.
    Prompt,
    /// Long work, which gets what the prompt lane leaves.
    Bulk,
}

impl From<RequestClass> for JobLane {
    fn from(class: RequestClass) -> Self {
        match class {
            RequestClass::Once | RequestClass::Short => Self::Prompt,
            RequestClass::Bulk => Self::Bulk,
        }
    }
}
