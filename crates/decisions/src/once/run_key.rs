//! Keys of runs.

/// Key of one attempt to run a ticket's request.
///
/// Guards against a report about an earlier attempt that comes late: it would
/// free the ticket while a later attempt runs, and a third copy would run
/// beside that one. Each attempt has its own key, and a report with any other
/// is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey {
    pub(super) sequence: u64,
    pub(super) attempt: u32,
}
