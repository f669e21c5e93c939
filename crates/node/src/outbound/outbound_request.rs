//! Requests of callers.

use std::rc::Rc;

use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::{
    accounts::CallerIdentity,
    config::{ConfigVersion, RouteRule},
    quota::QuotaPass,
    request_body::RequestBody,
};

/// A caller's request after it was read and routed.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// Value of the caller's request-id header, for the log; empty if it sent none.
    pub id: Rc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request line.
    pub uri: Uri,
    /// Headers to send to the backend server.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: RequestBody,
    /// Hash of the request, by which a repeated one is recognised.
    pub fingerprint: u64,
    /// Route that the host and path of the request matched.
    pub route: Rc<RouteRule>,
    /// Service that was selected by the route's weights.
    pub service: Rc<str>,
    /// Identity of the caller; none on anonymous routes and where there are no accounts.
    pub identity: Option<CallerIdentity>,
    /// Token of the caller's account; none where the account has no quota.
    pub quota_pass: Option<Rc<QuotaPass>>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Version of the configuration by which the request was routed.
    pub version: ConfigVersion,
    /// Whether this machine's backend server sent the request during a run of its own.
    pub is_nested: bool,
    /// When the request arrived at the node.
    pub arrived: Instant,
    /// When the caller made its first attempt, as far as is known.
    pub first_attempt_at: Instant,
    /// When the caller stops waiting; none if it doesn't say.
    pub caller_deadline: Option<Instant>,
    /// When the route's target latency is over, counted from the first attempt.
    pub target_deadline: Instant,
    /// Latest time at which the caller gets a final response, shortly before its deadline.
    pub ends_at: Instant,
}
