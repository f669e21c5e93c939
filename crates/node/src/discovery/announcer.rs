//! Keeps the own announcement in the store.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::{
    select,
    time::{Instant, sleep_until, timeout},
};

use super::own_key;
use crate::{
    delegation::DelegatingStore,
    inbound::LocalEndpoint,
    member::{MemberRecord, MemberState},
    node_core::NodeCore,
    store::{LeaseId, MetaStore, Revision, StoreEra, StoreError, StoreWrite},
};

/// Time after which an announcement that isn't renewed vanishes. Others learn
/// sooner from their requests that a node is gone; this is for those that
/// have sent it none.
const LEASE_TIME: Duration = Duration::from_secs(6);
/// Time between renewals: two may fail before the lease ends.
const RENEW_TIME: Duration = Duration::from_secs(2);

/// First pause after a round in which no other node reached the store either.
const PAUSE_FIRST: Duration = Duration::from_millis(500);
/// Longest pause: three rounds in the time of a lease. While the store is away for
/// all, each round costs every node two requests.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// What stands in the store, as far as this node knows.
#[derive(Debug, Default)]
struct Announcement {
    lease: Option<LeaseId>,
    /// Revision of the key, which the next write replaces.
    revision: Revision,
    /// Revision of the last news of the key that were taken in. The store's
    /// own answers are newer than the news that came before them.
    seen: Revision,
    record: Option<MemberRecord>,
}

/// Keeps the own announcement in the store until the node stops.
///
/// The lease may lapse while the store is away, the store may drop the key unseen, and a
/// write may be done without an answer, or seconds later. The node sees its own key in
/// the watch like any other, and writes again whatever doesn't stand there. Every write
/// names the revision that it replaces, so that a late one finds another revision and
/// fails.
///
/// While the store doesn't answer this node, another one makes its calls ([`DelegatingStore`]).
pub async fn keep_announced(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let delegating_store = DelegatingStore::new(Rc::clone(&core), store);
    let mut announcement = Announcement::default();
    let mut renew_at = Instant::now();
    let mut pause = PAUSE_FIRST;
    loop {
        let own = delegating_store.is_own();
        match announcement
            .step(&core, &delegating_store, &mut renew_at)
            .await
        {
            Ok(()) => {
                announcement.settle(&core);
                pause = PAUSE_FIRST;
                select! {
                    () = core.announcement_changed.notified() => {}
                    () = sleep_until(renew_at) => {}
                }
            }
            Err(failure) if own => core.store_failed("announcement", &failure),
            Err(failure) => {
                info!(core.log.logger(), "announcement not kept";
                    "cause" => %failure, "again_ms" => pause.as_millis() as u64);
                let _waited = timeout(pause, core.until_store_back()).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }
}

impl Announcement {
    /// Makes one call that is due, if any.
    async fn step(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        renew_at: &mut Instant,
    ) -> Result<(), StoreError> {
        let key = own_key(core);
        let wanted = wanted(core);
        self.see(core);
        self.enter_era(core.eras.latest());
        let Some(wanted) = wanted else {
            *renew_at = Instant::now() + RENEW_TIME;
            return self.withdraw(core, delegating_store, key.as_str()).await;
        };
        let lease = match self.lease {
            Some(lease) if Instant::now() < *renew_at => lease,
            Some(lease) => match delegating_store.renew(lease).await {
                Err(StoreError::NoLease) => self.grant(delegating_store).await?,
                renewed => {
                    renewed?;
                    lease
                }
            },
            None => self.take_over(core, delegating_store).await?,
        };
        if Instant::now() >= *renew_at {
            *renew_at = Instant::now() + RENEW_TIME;
        }
        if self.stands_for(&wanted) {
            return Ok(());
        }
        self.write(core, delegating_store, key.as_str(), wanted, lease)
            .await
    }

    /// Gives up a lease of an era that is over, and all that was known to stand in the store.
    fn enter_era(&mut self, era: StoreEra) {
        if self.lease.is_some_and(|lease| lease.era < era) {
            self.lease = None;
            self.record = None;
        }
    }

    /// Keeps the lease and the announcement that an earlier process of this node left, or
    /// asks for a new lease.
    ///
    /// Nodes restart more often than their backend servers do, and many at once; each new
    /// lease and announcement is a call, and a change that every other node hears of.
    async fn take_over(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
    ) -> Result<LeaseId, StoreError> {
        let Some(lease) = core.own_lease.get() else {
            return self.grant(delegating_store).await;
        };
        let renewed = delegating_store.renew(lease).await;
        if let Err(StoreError::NoLease) = renewed {
            core.own_lease.set(None);
            return self.grant(delegating_store).await;
        }
        renewed?;
        core.own_lease.set(None);
        let fleet = core.fleet.borrow();
        let member = fleet.at(core.settings.peer_addr);
        let standing = member.filter(|member| !member.has_lapsed());
        self.record = standing.map(|member| member.record.clone());
        self.lease = Some(lease);
        Ok(lease)
    }

    async fn grant(
        &mut self,
        delegating_store: &DelegatingStore<impl MetaStore>,
    ) -> Result<LeaseId, StoreError> {
        self.lease = None;
        self.record = None;
        let grant = delegating_store.grant(LEASE_TIME).await?;
        self.lease = Some(grant.lease);
        Ok(grant.lease)
    }

    async fn write(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        key: &str,
        wanted: MemberRecord,
        lease: LeaseId,
    ) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&wanted).map_err(|error| StoreError::Unexpected {
            reason: error.to_string(),
        })?;
        let write = StoreWrite::leased(key, &value, self.revision, lease);
        match delegating_store.commit(write, "announce").await {
            Ok(revision) => {
                info!(core.log.logger(), "announced";
                    "instance" => %wanted.start,
                    "state" => <&'static str>::from(wanted.state),
                    "revision" => revision.0);
                self.revision = revision;
                self.seen = revision;
                self.record = Some(wanted.clone());
                core.fleet
                    .borrow_mut()
                    .announce(core.clock.now(), wanted, revision);
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

    /// Removes the announcement of a backend server that is gone.
    async fn withdraw(
        &mut self,
        core: &NodeCore,
        delegating_store: &DelegatingStore<impl MetaStore>,
        key: &str,
    ) -> Result<(), StoreError> {
        // An older copy of the store may have brought back the one of a server that left.
        let brought_back = self.revision != Revision(0) && has_left(core);
        if self.record.is_none() && !brought_back {
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

    /// Tells who waits once the store holds what it should.
    fn settle(&self, core: &NodeCore) {
        let settled = match wanted(core) {
            Some(wanted) => self.stands_for(&wanted),
            None => self.record.is_none(),
        };
        if settled {
            core.announcement_outdated.set(false);
            core.announced.notify_waiters();
        }
    }

    /// Whether what stands in the store tells others all that matters of `wanted`.
    fn stands_for(&self, wanted: &MemberRecord) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.stands_for(wanted))
    }

    /// Notices what the watch has brought about the own key since the last
    /// write.
    fn see(&mut self, core: &NodeCore) {
        let fleet = core.fleet.borrow();
        let Some(member) = fleet.at(core.settings.peer_addr) else {
            return;
        };
        if member.revision() <= self.seen {
            return;
        }
        self.seen = member.revision();
        let stands = !member.has_lapsed();
        if !stands || Some(&member.record) != self.record.as_ref() {
            self.record = None;
        }
        self.revision = if stands {
            member.revision()
        } else {
            Revision(0)
        };
    }
}

/// Whether the backend server has said its farewell.
fn has_left(core: &NodeCore) -> bool {
    let tracker = core.inbound.tracker().borrow();
    tracker
        .current()
        .is_some_and(|current| current.deregistered)
}

/// Returns what should stand in the store.
fn wanted(core: &NodeCore) -> Option<MemberRecord> {
    let tracker = core.inbound.tracker().borrow();
    let current: &LocalEndpoint = tracker.current()?;
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
