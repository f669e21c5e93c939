//! HTTP handler for registration calls from other nodes.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{error, info, warn};

use super::{RegistrationCall, RegistrationEntry, RegistrationReply};
use crate::{
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path to which other nodes post registration calls.
pub const REGISTRATION_PATH: &str = "/.geranium/registration";
/// Maximum size of a call in bytes.
const BODY_MAX_BYTES: usize = 32 * 1024;

/// Handles registration calls of the members that use this node as their registrar.
#[derive(Debug, Clone)]
pub struct RegistrationHandler {
    core: Rc<NodeCore>,
}

impl RegistrationHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Keeps or changes the announcement of the calling node, and responds with the outcome.
    ///
    /// A body that can't be decoded and a call about another node's key get status 400.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = read_message(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        let call = match serde_json::from_slice::<RegistrationCall>(&body) {
            Ok(call) => call,
            Err(cause) => {
                warn!(self.core.log.logger(), "registration call not decoded"; "cause" => %cause);
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let entry = match RegistrationEntry::try_from(call) {
            Ok(entry) => entry,
            Err(cause) => {
                warn!(self.core.log.logger(), "registration call refused"; "cause" => %cause);
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let reply = self.reply(entry).await;
        json_response(&reply).unwrap_or_else(|cause| {
            error!(self.core.log.logger(), "registration reply not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }

    async fn reply(&self, entry: RegistrationEntry) -> RegistrationReply {
        if self.core.is_stopping() {
            return RegistrationReply::Failed;
        }
        let now = self.core.clock.now();
        let registrar = &self.core.registrar;
        if registrar.record_duty(now) {
            info!(self.core.log.logger(), "became registrar"; "of" => %entry.peer_addr());
            self.core.announcement_changed.notify_one();
        }
        if !entry.is_kept() {
            return match registrar.submit(entry) {
                Some(reply) => reply.await.unwrap_or(RegistrationReply::Failed),
                None => RegistrationReply::Failed,
            };
        }
        let Some(lease) = registrar.wait_for_lease(|| self.core.clock.now()).await else {
            return RegistrationReply::Failed;
        };
        if entry.lease() != Some(lease) {
            return RegistrationReply::Unleased;
        }
        let mut roster = registrar.roster.borrow_mut();
        roster.record_call(now, entry.peer_addr(), entry.key(), entry.revision());
        RegistrationReply::Kept
    }
}
