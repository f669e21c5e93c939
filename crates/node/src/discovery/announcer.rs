//! Keeps this node's announcement in the store.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{
    select,
    time::{Instant, sleep_until, timeout},
};

use super::own_key;
use crate::{
    delegation::DelegatingStore,
    inbound::CurrentStart,
    member::{MemberRecord, MemberState},
    node_core::NodeCore,
    store::{LeaseId, MetaStore, Revision, StoreEra, StoreError, StoreWrite},
};

/// Time after which the store removes an announcement whose lease isn't renewed. Nodes that send
/// requests to a node learn sooner that it is gone; the lease is for those that don't.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Time between renewals of the lease. Two may fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// First pause after a round of calls in which no other node reached the store.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest pause between such rounds of calls. Three fit into the time of a lease. While no node
/// reaches the store, each round costs every node two requests.
const RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// This node's knowledge of its announcement in the store.
#[derive(Debug, Default)]
struct Announcement {
    lease: Option<LeaseId>,
    /// Revision of the key that the next write replaces; 0 when there is no key.
    revision: Revision,
    /// Latest revision of the key that was applied here. The store's response to a write is newer
    /// than whatever the watch delivered before it.
    seen_revision: Revision,
    record: Option<MemberRecord>,
}

/// Keeps this node's announcement in the store until the node stops.
///
/// The lease may end while the store is unavailable, the store may lose the key without notice, and
/// a write may take effect without a response or seconds later. The node therefore watches its own
/// key like any other, and writes again what is missing there. Every write names the revision that
/// it replaces, so a delayed write finds another revision and fails.
///
/// While this node can't reach the store, another node makes its calls ([`DelegatingStore`]).
pub async fn keep_announced(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let delegating_store = DelegatingStore::new(Rc::clone(&core), store);
    let mut announcement = Announcement::default();
    let mut renew_at = Instant::now();
    let mut pause = RETRY_PAUSE_MIN;
    loop {
        let is_direct = delegating_store.is_direct();
        match announcement
            .step(&core, &delegating_store, &mut renew_at)
            .await
        {
            Ok(()) => {
                announcement.notify_if_stored(&core);
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
    /// Makes the store calls that are due, if any.
    async fn step(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        renew_at: &mut Instant,
    ) -> Result<(), StoreError> {
        let key = own_key(core);
        let desired = desired(core);
        self.apply_watched(core);
        self.enter_era(core.eras.latest());
        let Some(desired) = desired else {
            *renew_at = Instant::now() + RENEW_INTERVAL;
            return self.withdraw(core, delegating_store, key.as_str()).await;
        };
        let lease = match self.lease {
            Some(lease) if Instant::now() < *renew_at => lease,
            Some(lease) => match delegating_store.renew_lease(lease).await {
                Err(StoreError::NoLease) => self.grant_lease(delegating_store).await?,
                renewed => {
                    renewed?;
                    lease
                }
            },
            None => self.resume_lease(core, delegating_store).await?,
        };
        if Instant::now() >= *renew_at {
            *renew_at = Instant::now() + RENEW_INTERVAL;
        }
        if self.covers(&desired) {
            return Ok(());
        }
        self.write(core, delegating_store, key.as_str(), desired, lease)
            .await
    }

    /// Discards the lease of an earlier era, with the announcement under it.
    fn enter_era(&mut self, era: StoreEra) {
        if self.lease.is_some_and(|lease| lease.era < era) {
            self.lease = None;
            self.record = None;
        }
    }

    /// Renews the lease of this node's earlier process, or requests a new one.
    ///
    /// Nodes restart more often than their backend servers do, and many at once. A new lease
    /// and a new announcement each cost a call, and every other node gets the change.
    async fn resume_lease(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
    ) -> Result<LeaseId, StoreError> {
        let Some(lease) = core.earlier_lease.get() else {
            return self.grant_lease(delegating_store).await;
        };
        let renewed = delegating_store.renew_lease(lease).await;
        if let Err(StoreError::NoLease) = renewed {
            core.earlier_lease.set(None);
            return self.grant_lease(delegating_store).await;
        }
        renewed?;
        core.earlier_lease.set(None);
        let fleet = core.fleet.borrow();
        let member = fleet.member_at(core.settings.peer_addr);
        let present = member.filter(|member| !member.has_lapsed());
        self.record = present.map(|member| member.record.clone());
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn grant_lease(
        &mut self,
        delegating_store: &DelegatingStore<impl MetaStore>,
    ) -> Result<LeaseId, StoreError> {
        self.lease = None;
        self.record = None;
        let grant = delegating_store.grant_lease(LEASE_TIME).await?;
        self.lease = Some(grant.lease);
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
                self.revision = revision;
                self.seen_revision = revision;
                self.record = Some(desired.clone());
                core.fleet
                    .borrow_mut()
                    .announce(core.clock.now(), desired, revision);
                Ok(())
            }
            Err(StoreError::Conflict { current, .. }) => {
                self.revision = current;
                core.announcement_changed.notify_one();
                Ok(())
            }
            Err(StoreError::NoLease) => {
                self.lease = None;
                core.announcement_changed.notify_one();
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }

    /// Removes the announcement when the backend server is gone.
    async fn withdraw(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        key: &str,
    ) -> Result<(), StoreError> {
        // A store restored from an older copy may hold the announcement of a backend server
        // that has deregistered since.
        let restored = self.revision != Revision(0) && has_left(core);
        if self.record.is_none() && !restored {
            return Ok(());
        }
        let removal = StoreWrite::remove(key, self.revision);
        match delegating_store.commit(removal, "withdraw").await {
            Ok(revision) => {
                self.record = None;
                self.revision = Revision(0);
                core.fleet
                    .borrow_mut()
                    .remove(core.settings.peer_addr, revision);
                info!(core.log.logger(), "announcement withdrawn");
                Ok(())
            }
            Err(StoreError::Conflict { current, .. }) => {
                self.revision = current;
                if current == Revision(0) {
                    self.record = None;
                }
                Ok(())
            }
            Err(failure) => Err(failure),
        }
    }

    /// Notifies the tasks that wait for the announcement, if the store holds the desired one.
    fn notify_if_stored(&self, core: &NodeCore) {
        let stored = match desired(core) {
            Some(desired) => self.covers(&desired),
            None => self.record.is_none(),
        };
        if stored {
            core.announcement_outdated.set(false);
            core.announcement_written.notify_waiters();
        }
    }

    /// Returns whether the stored announcement tells other nodes the same as `desired`.
    fn covers(&self, desired: &MemberRecord) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.covers(desired))
    }

    /// Applies what the watch has delivered about the node's own key.
    fn apply_watched(&mut self, core: &NodeCore) {
        let fleet = core.fleet.borrow();
        let Some(member) = fleet.member_at(core.settings.peer_addr) else {
            return;
        };
        if member.revision() <= self.seen_revision {
            return;
        }
        self.seen_revision = member.revision();
        let is_present = !member.has_lapsed();
        if !is_present || Some(&member.record) != self.record.as_ref() {
            self.record = None;
        }
        self.revision = if is_present {
            member.revision()
        } else {
            Revision(0)
        };
    }
}

/// Returns whether the backend server has deregistered.
fn has_left(core: &NodeCore) -> bool {
    let tracker = core.inbound.tracker().borrow();
    tracker
        .current()
        .is_some_and(|current| current.deregistered)
}

/// Returns the announcement that the store should hold; none when it should hold none.
fn desired(core: &NodeCore) -> Option<MemberRecord> {
    let tracker = core.inbound.tracker().borrow();
    let current: &CurrentStart = tracker.current()?;
    if current.deregistered {
        return None;
    }
    let leaving = current.leaving_since.is_some() || core.is_stopping();
    let report = &current.report;
    Some(MemberRecord {
        peer_addr: core.settings.peer_addr,
        start: report.start.clone(),
        service: report.service.clone(),
        data_centre: core.settings.data_centre.clone(),
        version: report.version.clone(),
        suspended: core.inbound.is_suspended(),
        slots: report.slots,
        state: if leaving {
            MemberState::Leaving
        } else {
            MemberState::Ready
        },
        link_mbps: core.settings.link_mbps as u32,
        cold_ms: u32::try_from(current.cold.as_millis()).unwrap_or(u32::MAX),
        sequence: current.announced_sequence,
    })
}
