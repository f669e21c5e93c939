//! What became of a request that was sent.

use std::time::Duration;

/// Evidence from one request, for [`BackendPicker::done`].
///
/// [`BackendPicker::done`]: super::BackendPicker::done
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickReport {
    /// Time from sending the request to the result.
    pub latency: Duration,
    /// The result.
    pub result: PickResult,
    /// Load the backend server claims, in thousandths of its capacity.
    pub load: Option<u16>,
}

/// How a request that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickResult {
    /// A whole answer came back.
    Answered,
    /// It was refused as full or draining, and did not run.
    Refused {
        /// Time after which it may be asked again.
        retry_after: Duration,
    },
    /// The connection or the answer broke off.
    Broke,
    /// No connection could be made.
    Unreachable,
    /// No answer came before the deadline.
    TimedOut,
    /// Its caller left, or had asked for less time than the route gives.
    ///
    /// Guards against impatient callers: if their hanging up counted against
    /// the server, one of them could have a whole service ejected.
    Abandoned,
}
