//! State of a node that keeps the announcements of others.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    time::Duration,
};

use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout, timeout_at},
};

use super::{MemberRoster, RegistrationEntry, RegistrationReply};
use crate::store::{LeaseId, Revision};

/// Most changes in one transaction. The store allows 32 entries, and each change takes two: its
/// precondition, and the write or the removal.
pub(super) const BATCH_MAX: usize = 16;
/// Maximum number of changes that wait. All members of several failed registrars fit in.
const WAITING_MAX: usize = 512;
/// Time after a call in which a node stays a registrar. Members call every two seconds.
const DUTY_TIME: Duration = Duration::from_secs(6);
/// Age of the lease's last renewal above which members are to leave. The lease lasts six seconds,
/// and a member takes one or two to move.
const LEASE_AGE_MAX: Duration = Duration::from_millis(3_500);

/// Time in which further changes are collected for the transaction of a change that other nodes
/// wait for, such as that of a backend server that leaves.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// The same for an announcement that moves here from another registrar. Members of a failed
/// registrar notice that within two seconds, and its lease lasts longer.
const GATHER_TIME_MOVE: Duration = Duration::from_millis(200);
/// The same for an announcement that isn't in the store yet. Backend servers that start together
/// report one after the other.
const GATHER_TIME_NEW: Duration = Duration::from_millis(300);
/// Longest time that a call waits for the registrar's own lease. A node that has just become a
/// registrar requests it first.
const LEASE_WAIT: Duration = Duration::from_millis(600);

/// Change that waits to be written, and where its outcome is sent.
#[derive(Debug)]
pub(super) struct WaitingEntry {
    pub(super) entry: RegistrationEntry,
    /// None for a removal that no node waits for.
    pub(super) reply_sender: Option<oneshot::Sender<RegistrationReply>>,
}

/// State of a node as a registrar of others.
///
/// Every node has one. It stays empty where no other node calls.
#[derive(Debug, Default)]
pub struct RegistrarState {
    /// The node's own lease and the time of its last renewal.
    lease: Cell<Option<(LeaseId, Duration)>>,
    pub(super) roster: RefCell<MemberRoster>,
    waiting: RefCell<VecDeque<WaitingEntry>>,
    /// When the most urgent waiting change is to be written.
    batch_due_at: Cell<Option<Instant>>,
    entry_added: Notify,
    lease_set: Notify,
    lease_ended: Cell<bool>,
    /// Registrar of this node.
    own_registrar: Cell<Option<SocketAddr>>,
    duty_until: Cell<Duration>,
}

impl RegistrarState {
    /// Records that the node's own lease was granted or renewed.
    pub fn record_lease(&self, now: Duration, lease: LeaseId) {
        self.lease.set(Some((lease, now)));
        self.lease_set.notify_waiters();
    }

    /// Records that the node has no lease of its own any more.
    pub fn clear_lease(&self) {
        self.lease.set(None);
    }

    /// Records that the store knows the node's own lease no more.
    pub(super) fn record_lease_end(&self) {
        self.lease.set(None);
        self.lease_ended.set(true);
    }

    /// Returns whether the store was found not to know the node's own lease any more since the
    /// last call.
    pub fn take_lease_end(&self) -> bool {
        self.lease_ended.take()
    }

    /// Returns the node's own lease if it was renewed recently.
    pub fn lease(&self, now: Duration) -> Option<LeaseId> {
        let lease = self.lease.get();
        lease.and_then(|(lease, renewed_at)| (now < renewed_at + LEASE_AGE_MAX).then_some(lease))
    }

    /// Records which node keeps this node's announcement; none if it does so itself.
    pub fn record_own_registrar(&self, registrar: Option<SocketAddr>) {
        self.own_registrar.set(registrar);
    }

    /// Returns the node that keeps this node's announcement; none if it does so itself.
    pub const fn own_registrar(&self) -> Option<SocketAddr> {
        self.own_registrar.get()
    }

    /// Records a call of another node, and returns whether the node becomes a registrar by it.
    pub fn record_duty(&self, now: Duration) -> bool {
        now >= self.duty_until.replace(now + DUTY_TIME)
    }

    /// Adds a member that an earlier process of this node kept.
    pub fn resume_member(
        &self,
        now: Duration,
        peer_addr: SocketAddr,
        key: &str,
        revision: Revision,
    ) {
        self.duty_until.set(now + DUTY_TIME);
        let mut roster = self.roster.borrow_mut();
        roster.record_call(now, peer_addr, key, revision);
    }

    /// Returns whether other nodes use this one as their registrar.
    ///
    /// Such a node needs a lease of its own.
    pub fn is_on_duty(&self, now: Duration) -> bool {
        now < self.duty_until.get()
    }

    /// Returns the number of members whose announcements this node keeps.
    pub fn member_count(&self) -> usize {
        self.roster.borrow().len()
    }

    /// Queues a change and returns the receiver of its outcome; none if too many wait.
    pub(super) fn submit(
        &self,
        entry: RegistrationEntry,
    ) -> Option<oneshot::Receiver<RegistrationReply>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= WAITING_MAX {
            return None;
        }
        let due_at = Instant::now() + self.gather_time(&entry);
        let first_due = self.batch_due_at.get().filter(|_| !waiting.is_empty());
        let next_due = first_due.map_or(due_at, |first_due| first_due.min(due_at));
        self.batch_due_at.set(Some(next_due));
        let (reply_sender, reply) = oneshot::channel();
        waiting.push_back(WaitingEntry {
            entry,
            reply_sender: Some(reply_sender),
        });
        self.entry_added.notify_one();
        Some(reply)
    }

    /// Queues removals of the announcements of members that count as gone, except those for which
    /// `has_moved` holds, and returns their number.
    pub(super) fn queue_removals(
        &self,
        now: Duration,
        has_moved: impl Fn(SocketAddr, Revision) -> bool,
    ) -> usize {
        let mut silent = self.roster.borrow_mut().take_silent(now);
        silent.retain(|&(peer_addr, _, revision)| !has_moved(peer_addr, revision));
        let count = silent.len();
        let entries = silent
            .into_iter()
            .map(|(peer_addr, key, revision)| WaitingEntry {
                entry: RegistrationEntry::removal(peer_addr, key, revision),
                reply_sender: None,
            });
        if count > 0 {
            self.batch_due_at.set(Some(Instant::now()));
            self.waiting.borrow_mut().extend(entries);
        }
        count
    }

    /// Takes the next changes for one transaction, at most one for each key.
    pub(super) fn take_batch(&self) -> Vec<WaitingEntry> {
        let mut waiting = self.waiting.borrow_mut();
        let mut batch: Vec<WaitingEntry> = Vec::new();
        while batch.len() < BATCH_MAX {
            let is_repeated = waiting.front().is_some_and(|next| {
                let mut taken = batch.iter();
                taken.any(|taken| taken.entry.key() == next.entry.key())
            });
            if is_repeated {
                break;
            }
            let Some(next) = waiting.pop_front() else {
                break;
            };
            batch.push(next);
        }
        batch
    }

    fn gather_time(&self, entry: &RegistrationEntry) -> Duration {
        let own_lease = self.lease.get().map(|(lease, _)| lease);
        match entry.lease() {
            None if entry.revision() == Revision(0) => GATHER_TIME_NEW,
            Some(lease) if own_lease != Some(lease) => GATHER_TIME_MOVE,
            _ => GATHER_TIME,
        }
    }

    /// Waits until the queued changes are to be written: a transaction is full, or the time of the
    /// most urgent one has come.
    pub(super) async fn until_batch_due(&self) {
        loop {
            let entry_added = self.entry_added.notified();
            let count = self.waiting.borrow().len();
            if count >= BATCH_MAX {
                return;
            }
            let Some(due_at) = self.batch_due_at.get().filter(|_| count > 0) else {
                entry_added.await;
                continue;
            };
            if timeout_at(due_at, entry_added).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the node has a lease of its own that was renewed recently; none if it doesn't
    /// get one soon.
    pub(super) async fn wait_for_lease(&self, now: impl Fn() -> Duration) -> Option<LeaseId> {
        timeout(LEASE_WAIT, self.until_lease(now)).await.ok()
    }

    async fn until_lease(&self, now: impl Fn() -> Duration) -> LeaseId {
        loop {
            let lease_set = self.lease_set.notified();
            if let Some(lease) = self.lease(now()) {
                return lease;
            }
            lease_set.await;
        }
    }
}
