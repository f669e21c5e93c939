//! Announcements that a registrar keeps, as their node sees it.

use std::net::SocketAddr;

use slog::{error, info};
use tokio::time::Instant;

use super::{
    announcement::Announcement, announcement_lease::AnnouncementLease, announcer::RENEW_INTERVAL,
    own_key,
};
use crate::{
    member::MemberRecord,
    node_core::NodeCore,
    registration::{RegistrationCall, RegistrationChange, RegistrationReply, send_registration},
    store::Revision,
};

impl Announcement {
    /// Returns the registrar to call; none if this node announces itself.
    ///
    /// A node that other nodes use as their registrar needs a lease of its own. So does a relay: by
    /// its renewals it notices, and tells its followers, whether it reaches the store.
    pub(super) fn registrar(&mut self, core: &NodeCore, reaches_store: bool) -> Option<SocketAddr> {
        let now = core.clock.now();
        let is_relay = core.relay_selector.borrow().has_recent_update_request(now);
        let keeps_own_lease = reaches_store
            && matches!(self.lease, Some(AnnouncementLease::Own(_)))
            && Instant::now() < self.own_until;
        if is_relay || keeps_own_lease || core.registrar.is_on_duty(now) {
            self.registrars.use_registrar(None);
            return None;
        }
        let fleet = core.fleet.borrow();
        self.registrars.select(now, &fleet.relay_candidates())
    }

    /// Has a registrar make the call that is due, if any. Returns false if it failed.
    pub(super) async fn step_at_registrar(
        &mut self,
        core: &NodeCore,
        registrar: SocketAddr,
        desired: &MemberRecord,
        renew_at: &mut Instant,
    ) -> bool {
        let change = if self.covers(desired) && self.is_at_registrar() {
            let is_current = self.registrars.current() == Some(registrar);
            if is_current && Instant::now() < *renew_at {
                return true;
            }
            RegistrationChange::Keep
        } else {
            match encode_for(registrar, desired) {
                Ok(value) => RegistrationChange::Write { value },
                Err(cause) => {
                    error!(core.log.logger(), "announcement not encoded"; "cause" => %cause);
                    return false;
                }
            }
        };
        let call = RegistrationCall {
            from: core.settings.peer_addr,
            key: own_key(core).as_str().to_owned(),
            revision: self.revision.0,
            lease: self.lease.map(AnnouncementLease::id),
            change,
        };
        let now = core.clock.now();
        let reply = match send_registration(core, registrar, &call).await {
            Ok(RegistrationReply::Failed) => {
                info!(core.log.logger(), "registrar failed"; "at" => %registrar);
                self.registrars.record_failure(now, registrar);
                return false;
            }
            Ok(reply) => reply,
            Err(cause) => {
                info!(core.log.logger(), "registrar not reached";
                    "at" => %registrar, "cause" => %cause);
                if cause.is_unsupported() {
                    self.registrars.record_unsupported(now, registrar);
                } else {
                    self.registrars.record_failure(now, registrar);
                }
                return false;
            }
        };
        core.relay_selector
            .borrow_mut()
            .record_store_seen(core.clock.now());
        self.apply_reply(core, registrar, desired, reply);
        *renew_at = Instant::now() + RENEW_INTERVAL;
        true
    }

    fn apply_reply(
        &mut self,
        core: &NodeCore,
        registrar: SocketAddr,
        desired: &MemberRecord,
        reply: RegistrationReply,
    ) {
        match reply {
            RegistrationReply::Kept => {
                self.registrars.use_registrar(Some(registrar));
                self.lease = self.lease.map(AnnouncementLease::of_registrar);
                core.registrar.clear_lease();
            }
            RegistrationReply::Written { revision, lease } => {
                let revision = Revision(revision);
                self.registrars.use_registrar(Some(registrar));
                self.lease = Some(AnnouncementLease::Registrar(lease));
                core.registrar.clear_lease();
                core.eras.observe(revision.era());
                info!(core.log.logger(), "announced";
                    "instance" => %desired.start,
                    "state" => <&'static str>::from(desired.state),
                    "revision" => revision.0,
                    "registrar" => %registrar);
                let record = MemberRecord {
                    registrar: Some(registrar),
                    ..desired.clone()
                };
                self.record_written(core, record, revision);
            }
            RegistrationReply::Conflict { current } => {
                self.revision = Revision(current);
                core.announcement_changed.notify_one();
            }
            // Writing the announcement again puts it under the registrar's present lease.
            RegistrationReply::Unleased
            | RegistrationReply::Removed { .. }
            | RegistrationReply::Failed => {
                self.record = None;
                core.announcement_changed.notify_one();
            }
        }
    }
}

/// Returns the value of an announcement under the lease of `registrar`.
fn encode_for(registrar: SocketAddr, desired: &MemberRecord) -> Result<String, serde_json::Error> {
    serde_json::to_string(&MemberRecord {
        registrar: Some(registrar),
        ..desired.clone()
    })
}
