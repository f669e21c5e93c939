//! Takes delegated calls of other nodes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::{error, warn};

use super::{DelegatedCall, DelegatedOutcome};
use crate::{
    node_core::NodeCore,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path at which a node takes delegated calls of others.
pub const DELEGATED_CALL_PATH: &str = "/.geranium/errand";
/// Longest delegated call: an announcement is some 300 bytes.
const BODY_MAX: usize = 16 * 1024;

/// Takes delegated calls of other nodes.
#[derive(Debug, Clone)]
pub struct DelegatedCallHandler {
    core: Rc<NodeCore>,
}

impl DelegatedCallHandler {
    /// Makes the port of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Answers a delegated call with what became of it.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Limited::new(request.into_body(), BODY_MAX).collect().await;
        let call = body
            .ok()
            .and_then(|body| serde_json::from_slice::<DelegatedCall>(&body.to_bytes()).ok());
        let Some(call) = call.filter(DelegatedCall::is_allowed) else {
            warn!(self.core.log.logger(), "errand refused"; "cause" => "not one of a node");
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let outcome = match self.core.delegated_calls.submit(call) {
            Some(outcome) => outcome.await.unwrap_or(DelegatedOutcome::Failed),
            None => DelegatedOutcome::Failed,
        };
        json_response(&outcome).unwrap_or_else(|cause| {
            error!(self.core.log.logger(), "outcome not written"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}
