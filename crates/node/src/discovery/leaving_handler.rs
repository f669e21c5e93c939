//! HTTP handler for other nodes' queries for the starts that have left.

use std::rc::Rc;

use http::{Response, StatusCode};

use crate::{
    node_core::NodeCore,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path at which a node responds with the announcements of starts that have left. Nodes that don't
/// know it respond with status 400.
pub const LEAVING_PATH: &str = "/.geranium/left";

/// Handles other nodes' queries for the starts that have left.
#[derive(Debug, Clone)]
pub struct LeavingHandler {
    core: Rc<NodeCore>,
}

impl LeavingHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Responds with the leavings that this node knows of, in the order in which it heard of them.
    pub fn handle(&self) -> Response<ResponseBody> {
        let fleet = self.core.fleet.borrow();
        json_response(&fleet.left_records()).unwrap_or_else(|cause| {
            slog::error!(self.core.log.logger(), "leavings not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }
}
