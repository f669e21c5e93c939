//! A node's knowledge of its announcement in the store.

use std::time::Duration;

use tokio::time::Instant;

use super::announcement_lease::AnnouncementLease;
use crate::{
    inbound::CurrentStart,
    member::{MemberRecord, MemberState},
    node_core::NodeCore,
    registration::RegistrarSelection,
    store::{LeaseId, Revision, StoreEra},
};

/// Shortest time for which a node announces itself before it moves to a registrar. A node that
/// restarts, or stops being a relay, may become one again.
const OWN_LEASE_TIME_MIN: Duration = Duration::from_secs(10);

/// This node's knowledge of its announcement in the store.
#[derive(Debug)]
pub(super) struct Announcement {
    pub(super) registrars: RegistrarSelection,
    pub(super) lease: Option<AnnouncementLease>,
    /// Until when the node keeps a lease of its own, if it has one.
    pub(super) own_until: Instant,
    /// Revision of the key that the next write replaces; 0 when there is no key.
    pub(super) revision: Revision,
    /// Latest revision of the key that was applied here. The store's response to a write is newer
    /// than whatever the watch delivered before it.
    pub(super) seen_revision: Revision,
    pub(super) record: Option<MemberRecord>,
}

impl Announcement {
    /// Creates the state of a node that has announced nothing.
    pub(super) fn new(core: &NodeCore) -> Self {
        Self {
            registrars: RegistrarSelection::new(core.settings.peer_addr),
            lease: None,
            own_until: Instant::now(),
            revision: Revision(0),
            seen_revision: Revision(0),
            record: None,
        }
    }

    /// Discards the lease of an earlier era, with the announcement under it.
    pub(super) fn enter_era(&mut self, era: StoreEra) {
        if self.lease.is_some_and(|lease| lease.id().era < era) {
            self.lease = None;
            self.record = None;
        }
    }

    /// Takes over the announcement of this node's earlier process, with its lease.
    ///
    /// Nodes restart more often than their backend servers do, and many at once. A new lease
    /// and a new announcement each cost a call, and every other node gets the change.
    pub(super) fn resume(&mut self, core: &NodeCore, renew_at: &mut Instant) {
        let Some((lease, record)) = core.earlier_lease.take().zip(present_record(core)) else {
            return;
        };
        if record.registrar.is_some() {
            self.registrars.use_registrar(record.registrar);
            self.lease = Some(AnnouncementLease::Registrar(lease));
        } else {
            self.hold_own(lease);
        }
        self.record = Some(record);
        *renew_at = Instant::now();
    }

    pub(super) fn hold_own(&mut self, lease: LeaseId) {
        self.lease = Some(AnnouncementLease::Own(lease));
        self.own_until = Instant::now() + OWN_LEASE_TIME_MIN;
    }

    /// Whether the announcement is under the lease of a registrar, not necessarily the present one.
    pub(super) const fn is_at_registrar(&self) -> bool {
        matches!(self.lease, Some(AnnouncementLease::Registrar(_)))
    }

    pub(super) fn record_written(
        &mut self,
        core: &NodeCore,
        desired: MemberRecord,
        revision: Revision,
    ) {
        self.revision = revision;
        self.seen_revision = revision;
        self.record = Some(desired.clone());
        core.fleet
            .borrow_mut()
            .announce(core.clock.now(), desired, revision);
    }

    /// Records whether the store holds the desired announcement, and wakes the tasks that wait for it.
    pub(super) fn record_stored(&self, core: &NodeCore) {
        let stored = match desired(core) {
            Some(desired) => self.covers(&desired),
            None => self.record.is_none(),
        };
        core.announcement_outdated.set(!stored);
        if stored {
            core.announcement_written.notify_waiters();
        }
    }

    /// Returns whether the stored announcement tells other nodes the same as `desired`.
    pub(super) fn covers(&self, desired: &MemberRecord) -> bool {
        let record = self.record.as_ref();
        record.is_some_and(|record| record.covers(desired))
    }

    /// Applies what the watch has delivered about the node's own key.
    pub(super) fn apply_watched(&mut self, core: &NodeCore) {
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

/// Returns this node's announcement, if the store held it when the members were listed.
fn present_record(core: &NodeCore) -> Option<MemberRecord> {
    let fleet = core.fleet.borrow();
    let member = fleet.member_at(core.settings.peer_addr);
    let present = member.filter(|member| !member.has_lapsed());
    present.map(|member| member.record.clone())
}

/// Returns the announcement that the store should hold; none while no backend server is known.
///
/// A backend server that has deregistered stays announced as leaving for good. If the node's process
/// restarts, the next one learns from there that the start has ended, and ignores a heartbeat of it
/// that is still on the way.
pub(super) fn desired(core: &NodeCore) -> Option<MemberRecord> {
    let tracker = core.inbound.tracker().borrow();
    let current: &CurrentStart = tracker.current()?;
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
        is_final: current.has_left_for_good(),
        left_before: tracker.left_before().cloned(),
        state: if leaving {
            MemberState::Leaving
        } else {
            MemberState::Ready
        },
        link_mbps: core.settings.link_mbps as u32,
        cold_ms: u32::try_from(current.cold.as_millis()).unwrap_or(u32::MAX),
        registrar: None,
        sequence: current.announced_sequence,
    })
}
