//! HTTP handler for other nodes' requests for updates.

use std::{rc::Rc, time::Duration};

use http::{Response, StatusCode, Uri};
use tokio::time::{Instant, timeout_at};

use crate::{
    boot_clock::BootClock,
    config::ConfigVersion,
    distribution::{ConfigUpdate, EncodedMembers, UpdateRequest, UpdateResponse},
    freshness::RelayedProof,
    member::MemberUpdate,
    node_core::NodeCore,
    response_body::{ResponseBody, empty_response, json_response},
};

/// Path at which a node handles requests for updates.
pub const UPDATE_PATH: &str = "/.geranium/follow";

/// Handles other nodes' requests for updates of the configuration, members and crashes.
#[derive(Debug, Clone)]
pub struct UpdateHandler {
    core: Rc<NodeCore>,
}

impl UpdateHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Responds as soon as there is an update, or when the request's wait ends.
    ///
    /// A query that can't be parsed gets status 400.
    pub async fn handle(&self, uri: &Uri) -> Response<ResponseBody> {
        let request = uri.query().unwrap_or_default().parse::<UpdateRequest>();
        let Ok(request) = request else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        // A node that waits uses this one as its relay; a node that doesn't wait asks only once.
        if !request.wait.is_zero() {
            self.core.record_update_request();
        }
        self.core.record_follower_version(request.version);
        let response = self.wait_for_update(request, BootClock::now()).await;
        json_response(&response).unwrap_or_else(|cause| {
            slog::error!(self.core.log.logger(), "update not encoded"; "cause" => %cause);
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        })
    }

    async fn wait_for_update(
        &self,
        request: UpdateRequest,
        received_at: Duration,
    ) -> UpdateResponse {
        let until = Instant::now() + request.wait;
        loop {
            let notified = self.core.update_arrived.notified();
            let members = self.core.members_since(request.members);
            let response = self.update_for(request, received_at);
            // At revision 0 a starting node knows only the members of its own data
            // centre. They don't count as an update.
            let no_members = members.update.is_empty() || members.update.revision == 0;
            let empty = response.config.is_none()
                && no_members
                && response.crashes.is_empty()
                && response.rollouts.is_empty()
                && response.quota_owners.is_empty();
            let changed = response.store_lost != request.knows_store_lost;
            let has_new_proof = response
                .proof
                .is_some_and(|proof| Some(proof.stamp) != request.proof_stamp);
            if !empty || changed || has_new_proof || Instant::now() >= until {
                return with_members(response, &members, request.accepts_packed);
            }
            // The response at the end of the wait says how old the contact with the store is.
            let _ended = timeout_at(until, notified).await;
        }
    }

    /// Returns the response to a request, without the members.
    fn update_for(&self, request: UpdateRequest, received_at: Duration) -> UpdateResponse {
        let now = self.core.clock.now();
        let relay_selector = self.core.relay_selector.borrow();
        UpdateResponse {
            store_age_ms: relay_selector.store_age(now).as_millis() as u64,
            store_lost: relay_selector.has_lost_store(),
            proof: request
                .proof_stamp
                .and_then(|_| self.core.config_proof())
                .map(|proof| RelayedProof::new(&proof, received_at, BootClock::now())),
            config: self.config_update(request.version),
            crashes: self.core.crashes.borrow().records_since(request.members),
            rollouts: self.core.rollouts.borrow().records_since(request.members),
            quota_owners: self.core.quota_entries_since(request.members),
            members: MemberUpdate::default(),
            packed_members: None,
        }
    }

    fn config_update(&self, version: ConfigVersion) -> Option<ConfigUpdate> {
        let updates = self.core.history.borrow().update_for(version);
        updates.unwrap_or_else(|cause| {
            slog::error!(self.core.log.logger(), "configuration not encoded";
                "version" => self.core.version().0, "cause" => %cause);
            None
        })
    }
}

/// Adds the members to a response, in compressed form if the requesting node reads it.
fn with_members(
    response: UpdateResponse,
    members: &EncodedMembers,
    accepts_packed: bool,
) -> UpdateResponse {
    let packed_members = members.packed.clone().filter(|_| accepts_packed);
    if packed_members.is_some() {
        return UpdateResponse {
            packed_members,
            ..response
        };
    }
    UpdateResponse {
        members: members.update.clone(),
        ..response
    }
}
