//! Requests at the inbound proxy.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::{
    accounts::AccountRule, crash::CompletionEvidence, rate_limit::RequestRate,
    request_body::RequestBody, request_origin::RequestOrigin,
};

/// A request for the backend server beside this node.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// Peer address of the node that sent the request; none if a caller on this instance did.
    pub sender: Option<SocketAddr>,
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub uri: Uri,
    /// Headers without those that concern one connection only.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: RequestBody,
    /// Account of the caller; none on anonymous routes and where there are no accounts.
    pub account: Option<Rc<AccountRule>>,
    /// Time on the boot clock until which the request may begin to run; none for no limit.
    pub valid_until: Option<Duration>,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the route, by which run times and response sizes are kept.
    pub route_hash: u64,
    /// Whether the request is a nested call of a run that has begun.
    pub is_nested: bool,
    /// Whether the request may wait for a slot; otherwise it is refused unless one is free.
    pub may_wait: bool,
    /// Whether the sender knows no other member that it could be sent to.
    pub is_only_member: bool,
    /// Time at which the request arrived at this node.
    pub arrived: Instant,
    /// Target time: the response is of full use until then.
    pub target_deadline: Instant,
    /// Time at which the caller gets a final response.
    pub ends_at: Instant,
    /// Hash by which the request is recognised when it is sent again.
    pub fingerprint: u64,
    /// Instance identifier of the start that the sender picked; `None` accepts any.
    pub instance: Option<String>,
    /// Limit of the backend server that the sender knows; none if it knows none.
    pub limit_hint: Option<RequestRate>,
    /// Completions that the sender knows of; none unless the request was running at a crash.
    pub completions: Option<CompletionEvidence>,
}

impl InboundRequest {
    /// Returns whether a caller or another node sent the request.
    pub const fn origin(&self) -> RequestOrigin {
        match self.sender {
            Some(_) => RequestOrigin::Node,
            None => RequestOrigin::Caller,
        }
    }
}
