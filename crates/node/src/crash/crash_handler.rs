//! Takes in what other nodes tell of crashes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Collected, Limited};
use hyper::body::Incoming;
use slog::warn;

use super::CrashRecord;
use crate::{
    node_core::NodeCore,
    response_body::{ResponseBody, empty_response},
    store::Revision,
};

/// Path at which a node is told of crashes.
pub const CRASH_PATH: &str = "/.geranium/crash";
/// Maximum size of a message: a thousand rows of some 80 bytes, with room to spare.
const BODY_MAX: usize = 256 * 1024;

/// Takes in what other nodes tell of crashes.
#[derive(Debug, Clone)]
pub struct CrashHandler {
    core: Rc<NodeCore>,
}

impl CrashHandler {
    /// Makes the port of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Takes in crashes, and answers once they count here.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = Limited::new(request.into_body(), BODY_MAX).collect().await;
        let body = body.map(Collected::to_bytes).unwrap_or_default();
        match serde_json::from_slice::<Vec<CrashRecord>>(&body) {
            Ok(rows) => {
                for row in rows {
                    self.core.record_crash(row, Revision(0));
                }
                empty_response(StatusCode::OK)
            }
            Err(cause) => {
                warn!(self.core.log.logger(), "crash unreadable"; "cause" => %cause);
                empty_response(StatusCode::BAD_REQUEST)
            }
        }
    }
}
