//! Decides when a request of a connection may begin.

use super::RequestFrame;

/// Largest number of requests of a connection that are unanswered at a time.
///
/// The requests behind them stay in the read-ahead. A connection thus never takes more than
/// a small share of the members' slots.
pub const REQUESTS_MAX: usize = 16;

/// Time at which a request may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeginDecision {
    /// At once.
    Now,
    /// When another request has been answered.
    WhenFewer,
    /// When all requests before it have been answered.
    WhenFirst,
}

/// Decides whether a request begins while `unanswered` earlier ones have no response.
///
/// A request that is first always begins. Any other one might run, and then run again
/// because the connection closed before its response, so `may_begin_early` has to agree. It
/// isn't called for requests that wait for another reason. Bodies are read only
/// for the first request, so that they needn't be held.
///
/// # Examples
///
/// ```
/// use geranium_node::pipeline::{BeginDecision, RequestFrame, begin_decision};
///
/// let lookup = RequestFrame { head_bytes: 90, body_bytes: 0, is_last: false };
/// assert_eq!(begin_decision(&lookup, 0, || false), BeginDecision::Now);
/// assert_eq!(begin_decision(&lookup, 1, || true), BeginDecision::Now);
/// assert_eq!(begin_decision(&lookup, 1, || false), BeginDecision::WhenFirst);
/// ```
pub fn begin_decision(
    frame: &RequestFrame,
    unanswered: usize,
    may_begin_early: impl FnOnce() -> bool,
) -> BeginDecision {
    if unanswered == 0 {
        BeginDecision::Now
    } else if frame.body_bytes > 0 {
        BeginDecision::WhenFirst
    } else if unanswered >= REQUESTS_MAX {
        BeginDecision::WhenFewer
    } else if may_begin_early() {
        BeginDecision::Now
    } else {
        BeginDecision::WhenFirst
    }
}
