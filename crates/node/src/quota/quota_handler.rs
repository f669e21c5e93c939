//! HTTP handler of questions for tokens.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{error, warn};

use super::{QuotaCall, ShardId};
use crate::{
    boot_clock::BootClock,
    config::ConfigVersion,
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path to which nodes post questions for tokens.
pub const QUOTA_PATH: &str = "/.geranium/quota";
/// Largest message in bytes. A question about one account has some 100.
const BODY_MAX_BYTES: usize = 256 * 1024;

/// Handles questions of other nodes for tokens.
#[derive(Debug, Clone)]
pub struct QuotaHandler {
    core: Rc<NodeCore>,
}

impl QuotaHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Grants tokens if this node owns the shard.
    ///
    /// A body that is too long or can't be decoded gets status 400, and any question 404 where
    /// quotas aren't in force.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(quota) = &self.core.quota else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let body = read_message(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        let call = match serde_json::from_slice::<QuotaCall>(&body) {
            Ok(call) => call,
            Err(cause) => {
                warn!(self.core.log.logger(), "quota call not decoded"; "cause" => %cause);
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let Ok(shard) = ShardId::try_from(call.shard) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        self.core
            .record_peer_version(ConfigVersion(call.version), call.from);
        let is_newer = self.core.version().0 >= call.version;
        let reply = quota.grant(BootClock::now(), shard, &call.asks, is_newer);
        json_response(&reply).unwrap_or_else(|cause| {
            error!(self.core.log.logger(), "quota reply not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}
