//! Keeps this node's announcement in the store.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{
    select,
    time::{Instant, sleep_until, timeout},
};

use super::{
    announcement::{Announcement, desired},
    announcement_lease::AnnouncementLease,
    own_key,
};
use crate::{
    delegation::DelegatingStore,
    member::MemberRecord,
    node_core::NodeCore,
    store::{LeaseId, MetaStore, StoreError, StoreWrite},
};

/// Time after which the store removes an announcement whose lease isn't renewed. Nodes that send
/// requests to a node learn sooner that it is gone; the lease is for those that don't.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Time between renewals of the lease, or between calls to the registrar. Two may fail before the
/// lease ends.
pub(super) const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of registrars that are called before the node announces itself.
const REGISTRARS_MAX: usize = 2;

/// First pause after a round of calls in which no other node reached the store.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause between such rounds of calls. Three fit into the time of a lease. While no node
/// reaches the store, each round costs every node two requests.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Keeps this node's announcement in the store until the node stops.
///
/// The lease may end while the store is unavailable, the store may lose the key without notice, and
/// a write may take effect without a response or seconds later. The node therefore watches its own
/// key like any other, and writes again what is missing there. Every write names the revision that
/// it replaces, so a delayed write finds another revision and fails.
///
/// A registrar makes the calls where there is one ([`registration`](crate::registration)). While
/// there is none and this node can't reach the store, another node makes its calls
/// ([`DelegatingStore`]).
pub async fn keep_announced(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let delegating_store = DelegatingStore::new(Rc::clone(&core), store);
    let mut announcement = Announcement::new(&core);
    let mut renew_at = Instant::now();
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let is_direct = delegating_store.is_direct();
        let outcome = announcement
            .step(&core, &delegating_store, &mut renew_at)
            .await;
        let registrar = announcement.registrars.current();
        core.registrar.record_own_registrar(registrar);
        announcement.record_stored(&core);
        match outcome {
            Ok(()) => {
                pause = RETRY_PAUSE_MIN;
                select! {
                    () = core.announcement_changed.notified() => {}
                    () = sleep_until(renew_at) => {}
                }
            }
            Err(failure) if is_direct => core.record_store_failure("announcement", &failure),
            Err(failure) => {
                info!(core.log.logger(), "announcement not updated";
                    "cause" => %failure, "again_ms" => pause.as_millis() as u64);
                let _waited = timeout(pause, core.until_store_back()).await;
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

impl Announcement {
    /// Makes the calls that are due, if any, to a registrar or to the store.
    async fn step(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        renew_at: &mut Instant,
    ) -> Result<(), StoreError> {
        let desired = desired(core);
        self.apply_watched(core);
        self.enter_era(core.eras.latest());
        self.resume(core, renew_at);
        if core.registrar.take_lease_end() && matches!(self.lease, Some(AnnouncementLease::Own(_)))
        {
            self.lease = None;
            self.record = None;
        }
        self.record_stored(core);
        if !core.knows_local_members() {
            *renew_at = Instant::now() + RENEW_INTERVAL;
            return Ok(());
        }
        for _registrar in 0..REGISTRARS_MAX {
            let Some(registrar) = self.registrar(core, delegating_store.is_direct()) else {
                break;
            };
            let Some(desired) = &desired else {
                *renew_at = Instant::now() + RENEW_INTERVAL;
                return Ok(());
            };
            if self
                .step_at_registrar(core, registrar, desired, renew_at)
                .await
            {
                return Ok(());
            }
        }
        let key = own_key(core);
        let Some(desired) = desired else {
            // Members of this registrar depend on its lease, whether or not it has a backend server.
            if core.registrar.is_on_duty(core.clock.now()) {
                self.own_lease(core, delegating_store, renew_at).await?;
            }
            advance(renew_at);
            return Ok(());
        };
        let lease = self.own_lease(core, delegating_store, renew_at).await?;
        if self.covers(&desired) {
            return Ok(());
        }
        self.write(core, delegating_store, key.as_str(), desired, lease)
            .await
    }

    /// Returns the lease of this node, renewed if that is due, or a new one.
    async fn own_lease(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        renew_at: &mut Instant,
    ) -> Result<LeaseId, StoreError> {
        let lease = match self.lease {
            Some(AnnouncementLease::Own(lease)) if Instant::now() < *renew_at => lease,
            Some(AnnouncementLease::Own(lease)) => {
                match delegating_store.renew_lease(lease).await {
                    Err(StoreError::NoLease) => self.grant_lease(core, delegating_store).await?,
                    renewed => {
                        renewed?;
                        core.registrar.record_lease(core.clock.now(), lease);
                        lease
                    }
                }
            }
            Some(AnnouncementLease::Registrar(_)) | None => {
                self.grant_lease(core, delegating_store).await?
            }
        };
        advance(renew_at);
        Ok(lease)
    }

    async fn grant_lease(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
    ) -> Result<LeaseId, StoreError> {
        self.lease = None;
        self.record = None;
        core.registrar.clear_lease();
        let grant = delegating_store.grant_lease(LEASE_TIME).await?;
        self.hold_own(grant.lease);
        core.registrar.record_lease(core.clock.now(), grant.lease);
        Ok(grant.lease)
    }

    async fn write(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        key: &str,
        desired: MemberRecord,
        lease: LeaseId,
    ) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&desired).map_err(|error| StoreError::Unexpected {
            reason: error.to_string(),
        })?;
        let write = StoreWrite::leased(key, &value, self.revision, lease);
        match delegating_store.commit(write, "announce").await {
            Ok(revision) => {
                info!(core.log.logger(), "announced";
                    "instance" => %desired.start,
                    "state" => <&'static str>::from(desired.state),
                    "revision" => revision.0);
                self.record_written(core, desired, revision);
                Ok(())
            }
            Err(StoreError::Conflict { current, .. }) => {
                self.revision = current;
                core.announcement_changed.notify_one();
                Ok(())
            }
            Err(StoreError::NoLease) => {
                self.lease = None;
                core.registrar.clear_lease();
                core.announcement_changed.notify_one();
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }
}

/// Sets the time of the next renewal, if the present one has come.
fn advance(renew_at: &mut Instant) {
    if Instant::now() >= *renew_at {
        *renew_at = Instant::now() + RENEW_INTERVAL;
    }
}
