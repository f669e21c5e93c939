//! Requests of callers.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::config::{ConfigVersion, RouteRule};

/// A caller's request after it was read and routed.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// Identifier of the caller's attempt, for the log; empty if the caller sent none.
    pub id: Rc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request line.
    pub uri: Uri,
    /// Headers to send to the backend server.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Hash of the request, by which a repeated one is recognised.
    pub fingerprint: u64,
    /// Route of the request.
    pub route: Rc<RouteRule>,
    /// Service that was selected by the route's weights.
    pub service: Rc<str>,
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
    /// When the target response time of the route is over, counted from the first attempt.
    pub target_deadline: Instant,
    /// When the caller gets a final response at the latest.
    pub ends_at: Instant,
}
