//! HTTP handler for the notices of stopping nodes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{info, warn};

use super::StopNotice;
use crate::{
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response},
};

/// Path to which a stopping node posts its notice. Nodes that don't know it respond with status 400.
pub const STOP_NOTICE_PATH: &str = "/.geranium/stopping";
/// Maximum size of a notice in bytes.
const BODY_MAX_BYTES: usize = 1_024;

/// Handles the notices that stopping nodes send.
#[derive(Debug, Clone)]
pub struct StopNoticeHandler {
    core: Rc<NodeCore>,
}

impl StopNoticeHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Bounds the transfers to the sender by its end.
    ///
    /// A body that is too long or can't be decoded gets status 400.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = read_message(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        let core = &self.core;
        match serde_json::from_slice::<StopNotice>(&body) {
            Ok(notice) => {
                let now = core.clock.now();
                let ends_at = now + notice.remaining();
                let transfers = core.link.bound_by_end_of(now, notice.from, ends_at);
                info!(core.log.logger(), "transfers bounded by the end of a node";
                    "node" => %notice.from,
                    "remaining_ms" => notice.remaining_ms,
                    "transfers" => transfers);
                empty_response(StatusCode::OK)
            }
            Err(cause) => {
                warn!(core.log.logger(), "stop notice not decoded"; "cause" => %cause);
                empty_response(StatusCode::BAD_REQUEST)
            }
        }
    }
}
