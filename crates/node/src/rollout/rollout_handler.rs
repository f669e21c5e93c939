//! HTTP handler of other nodes' questions about rollouts.

use std::rc::Rc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use slog::{error, warn};

use super::{RolloutProbe, RolloutRecord, RolloutReport, RolloutState};
use crate::{
    node_core::NodeCore,
    request_body::read_message,
    response_body::{ResponseBody, empty_response, json_response},
    store::Revision,
};

/// Path to which the node that decides about a rollout posts its questions.
pub const ROLLOUT_PATH: &str = "/.geranium/rollout";
/// Largest message in bytes. A usual one has some 300.
const BODY_MAX_BYTES: usize = 16 * 1024;

/// Handles questions of the node that decides about a rollout.
#[derive(Debug, Clone)]
pub struct RolloutHandler {
    core: Rc<NodeCore>,
}

impl RolloutHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Applies the state of the rollout, and responds with the local backend server's runs.
    ///
    /// A body that is too long or can't be decoded gets status 400.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let body = read_message(request.into_body(), BODY_MAX_BYTES)
            .await
            .unwrap_or_default();
        let probe = match serde_json::from_slice::<RolloutProbe>(&body) {
            Ok(probe) => probe,
            Err(cause) => {
                warn!(self.core.log.logger(), "rollout probe not decoded"; "cause" => %cause);
                return empty_response(StatusCode::BAD_REQUEST);
            }
        };
        let service = probe.record.service.clone();
        if probe.record.decided_by != self.core.settings.peer_addr {
            let now = self.core.clock.now();
            let mut contact = self.core.decider_contact.borrow_mut();
            contact.record_contact(now, &service);
        }
        self.core
            .record_rollout(probe.record.clone(), Revision(probe.revision));
        let report = RolloutReport {
            start: self.core.inbound.current_start(),
            decides: self.core.decided_rollouts.borrow().contains(&service),
            is_drained: self.core.inbound.is_drained(),
            counts: if probe.wants_counts {
                self.core.inbound.run_counts()
            } else {
                Vec::new()
            },
            state: self.differing_state(&probe.record),
        };
        json_response(&report).unwrap_or_else(|cause| {
            error!(self.core.log.logger(), "rollout report not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }

    /// Returns the state of the rollout of `asked` if it differs from that.
    fn differing_state(&self, asked: &RolloutRecord) -> Option<RolloutState> {
        let rollouts = self.core.rollouts.borrow();
        let record = rollouts.get(&asked.service)?;
        (record != asked).then(|| RolloutState {
            record: record.clone(),
            revision: rollouts.saved_revision(&asked.service).0,
        })
    }
}
