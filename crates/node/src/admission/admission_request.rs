//! Requests to be admitted.

use std::time::Duration;

/// A request to be admitted to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the route, by which run times are kept.
    pub route_hash: u64,
    /// Hash of the name of the caller's account; none if it has none.
    pub account: Option<u64>,
    /// Hash by which the request is recognised when it comes again; none while unknown.
    pub fingerprint: Option<u64>,
    /// Whether the request is a nested call of a run that has begun.
    pub is_nested: bool,
    /// Whether the request may wait; otherwise it runs at once or not at all.
    pub may_wait: bool,
    /// Whether the sender knows no other member that it could be sent to.
    pub is_only_member: bool,
    /// Target time: the response is of full use until then.
    pub target_deadline: Duration,
    /// Time at which the caller gets a final response.
    pub ends_at: Duration,
}
