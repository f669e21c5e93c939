//! A caller's request, read and routed.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::config::{ConfigVersion, RouteRule};

/// A caller's request, read and routed.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// Identifier of the caller's attempt, for the log.
    pub id: Rc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Hash by which it is known when it comes again.
    pub fingerprint: u64,
    /// Route.
    pub route: Rc<RouteRule>,
    /// Service that the route's weights gave.
    pub service: Rc<str>,
    /// Version by which it was routed.
    pub version: ConfigVersion,
    /// Whether it is a call of this machine's backend server, which belongs to
    /// a run that has begun.
    pub nested: bool,
    /// Arrival.
    pub arrived: Instant,
    /// When its caller first asked, as far as is known.
    pub first_attempt_at: Instant,
    /// When its caller stops waiting, if it says so.
    pub caller_end: Option<Instant>,
    /// Time by which the answer is of full use.
    pub target_deadline: Instant,
    /// Time at which the caller gets a final answer.
    pub ends_at: Instant,
}
