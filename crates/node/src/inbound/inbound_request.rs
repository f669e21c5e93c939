//! Requests at the inbound proxy.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::request_origin::RequestOrigin;

/// A request for the backend server beside this node.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// Whether a caller or another node sent it.
    pub origin: RequestOrigin,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that concern one connection only.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Rank of the route.
    pub rank: u8,
    /// Hash of the route.
    pub route_hash: u64,
    /// Whether it belongs to a run that has begun.
    pub nested: bool,
    /// Whether it may wait for a slot.
    pub may_wait: bool,
    /// Time by which the answer is of full use.
    pub target_deadline: Instant,
    /// Time at which the caller gets a final answer.
    pub ends_at: Instant,
    /// Hash by which it is known when it comes again.
    pub fingerprint: u64,
    /// Start of the backend server that the sender picked.
    pub instance: Option<String>,
}
