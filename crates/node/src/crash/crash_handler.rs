//! HTTP handler for crash records from other nodes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::warn;

use super::CrashRecord;
use crate::{
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response},
    store::Revision,
};

/// Path to which other nodes post crash records.
pub const CRASH_PATH: &str = "/.geranium/crash";
/// Maximum size of a message in bytes. A thousand records of some 80 bytes take a third of
/// it.
const BODY_MAX_BYTES: usize = 256 * 1024;

/// Handles crash records that other nodes send.
#[derive(Debug, Clone)]
pub struct CrashHandler {
    core: Rc<NodeCore>,
}

impl CrashHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Records the crashes of a message and responds once they count on this node.
    ///
    /// A body that is too long or can't be decoded gets status 400.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = read_message(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        match serde_json::from_slice::<Vec<CrashRecord>>(&body) {
            Ok(records) => {
                for record in records {
                    self.core.record_crash(record, Revision(0));
                }
                empty_response(StatusCode::OK)
            }
            Err(cause) => {
                warn!(self.core.log.logger(), "crash records not decoded"; "cause" => %cause);
                empty_response(StatusCode::BAD_REQUEST)
            }
        }
    }
}
