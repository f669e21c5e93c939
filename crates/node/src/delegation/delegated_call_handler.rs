//! HTTP handler for delegated calls from other nodes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{error, warn};

use super::{DelegatedCall, DelegatedOutcome};
use crate::{
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path to which other nodes post delegated calls.
pub const DELEGATED_CALL_PATH: &str = "/.geranium/errand";
/// Maximum size of a delegated call in bytes. An announcement takes some 300 bytes.
const BODY_MAX_BYTES: usize = 16 * 1024;

/// Handles delegated calls from other nodes.
#[derive(Debug, Clone)]
pub struct DelegatedCallHandler {
    core: Rc<NodeCore>,
}

impl DelegatedCallHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Queues a delegated call and responds with its outcome.
    ///
    /// A body that can't be decoded and a call that isn't allowed get status 400.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = read_message(request.into_body(), BODY_MAX_BYTES).await;
        let call = body
            .ok()
            .and_then(|body| serde_json::from_slice::<DelegatedCall>(&body).ok());
        let Some(call) = call.filter(DelegatedCall::is_allowed) else {
            warn!(self.core.log.logger(), "delegated call refused"; "cause" => "not one of a node");
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let outcome = match self.core.delegated_calls.submit(call) {
            Some(outcome) => outcome.await.unwrap_or(DelegatedOutcome::Failed),
            None => DelegatedOutcome::Failed,
        };
        json_response(&outcome).unwrap_or_else(|cause| {
            error!(self.core.log.logger(), "outcome not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}
