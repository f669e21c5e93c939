//! What a node knows of its contact with the store, and who watches it.

use std::{net::SocketAddr, time::Duration};

use slog::{info, warn};
use tokio::time::timeout;

use super::NodeCore;
use crate::{
    distribution::{StoreProbeDuty, UpdateSource},
    store::{ReadConsistency, Revision, StoreError},
};

/// Time between looks at whether this node still has to watch the store.
const DUTY_LOOK: Duration = Duration::from_secs(1);

/// Time in which the nodes of a new fleet have announced themselves: two
/// heartbeats.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time left to another node to bring the first configuration and members.
const FIRST_NEWS: Duration = Duration::from_secs(1);

impl NodeCore {
    /// Notes that the store answered.
    pub fn store_answered(&self) {
        let now = self.clock.now();
        if self.relay_selector.borrow_mut().store_answered(now) {
            // Followers that wait to hear of the return.
            self.updates.notify_waiters();
        }
        if self.store_access.borrow_mut().record_success() {
            info!(self.log.logger(), "store regained");
        }
    }

    /// Notes that a call to the store failed.
    pub fn store_failed(&self, call: &'static str, cause: &StoreError) {
        let age = self.relay_selector.borrow().store_age(self.clock.now());
        if self.store_access.borrow_mut().record_failure() {
            warn!(self.log.logger(), "store lost";
                "for" => call,
                "cause" => %cause,
                "answered_ms_ago" => age.as_millis() as u64,
                "version" => self.version().0,
                "members" => self.fleet.borrow().len());
        }
        self.store_lost.notify_one();
    }

    /// Tells the nodes that follow this one that the store doesn't answer it. One
    /// failed call doesn't say so: connections are reset, and answers lost.
    pub fn notify_store_lost(&self) {
        if self.relay_selector.borrow_mut().store_lost() {
            self.updates.notify_waiters();
            self.watch_duty_changed.notify_waiters();
        }
    }

    /// Checks the own contact with the store, as nodes that this one followed lost it.
    pub fn recheck_store(&self) {
        if self.store_access.borrow_mut().recheck() {
            info!(self.log.logger(), "store doubted"; "cause" => "other nodes lost it");
            self.store_lost.notify_one();
        }
    }

    /// Takes in that the node at `peer_addr`, which had lost the store, reaches it again.
    pub fn record_store_reached(&self, peer_addr: SocketAddr) {
        if self.store_access.borrow().is_open() {
            return;
        }
        info!(self.log.logger(), "store heard of"; "from" => %peer_addr);
        self.store_access.borrow_mut().record_probe_success();
        self.store_back.notify_waiters();
        self.watch_duty_changed.notify_waiters();
    }

    /// Waits until the store may be called.
    pub async fn until_store_back(&self) {
        while !self.store_access.borrow().is_open() {
            self.store_back.notified().await;
        }
    }

    /// Whether the whole fleet has just started for the first time and its nodes
    /// are announcing themselves: the store is read now and then, not watched.
    pub fn is_settling(&self) -> bool {
        self.settings.first_start && self.clock.now() < SETTLE_TIME
    }

    /// Returns how old the first reads of this process may be.
    ///
    /// When a whole fleet starts for the first time there is nothing in the store to be
    /// behind of, and each node reads it by itself, as it knows no other one yet.
    pub fn first_read_consistency(&self) -> ReadConsistency {
        if self.is_settling() {
            ReadConsistency::Serializable
        } else {
            ReadConsistency::Linearizable
        }
    }

    /// Notes that another node asked for news.
    pub fn record_update_request(&self) {
        self.relay_selector
            .borrow_mut()
            .record_update_request(self.clock.now());
        self.watch_duty_changed.notify_waiters();
    }

    /// Notes that the members of this data centre are known.
    pub fn local_members_listed(&self) {
        self.local_members_listed_at.set(Some(self.clock.now()));
        self.watch_duty_changed.notify_waiters();
    }

    /// Whether this node knows whom it can ask for news. When the whole fleet starts for
    /// the first time there is nobody to be known.
    pub fn knows_local_members(&self) -> bool {
        self.settings.first_start || self.local_members_listed_at.get().is_some()
    }

    /// Whether a node that knows nothing yet still leaves it to another one to read the
    /// store.
    ///
    /// After a power cut all nodes of a data centre start in the same second. A large
    /// configuration, read by each of them, fills the store's link and theirs.
    fn may_wait_for_relay(&self, now: Duration) -> bool {
        let listed = self.local_members_listed_at.get();
        listed.is_some_and(|at| now < at + FIRST_NEWS)
    }

    /// Returns where this node gets its news.
    pub fn update_source(&self) -> UpdateSource {
        let now = self.clock.now();
        let fleet = self.fleet.borrow();
        let knows_all = fleet.revision() != Revision(0) && self.config.borrow().is_some();
        if !knows_all && !self.may_wait_for_relay(now) {
            return UpdateSource::Store;
        }
        self.relay_selector
            .borrow()
            .choose(now, &fleet.relay_candidates())
    }

    /// Whether this node watches the store.
    pub fn watches_store(&self) -> bool {
        let has_followers = self
            .relay_selector
            .borrow()
            .has_recent_update_request(self.clock.now());
        self.knows_local_members() && (has_followers || self.update_source() == UpdateSource::Store)
    }

    /// Returns who looks for a store that this node has lost.
    pub fn store_probe_duty(&self) -> StoreProbeDuty {
        if self.watches_store() || !self.knows_local_members() {
            StoreProbeDuty::Own
        } else if self.relay_selector.borrow().is_relay_cut_off() {
            StoreProbeDuty::ByRelay
        } else {
            StoreProbeDuty::Alone
        }
    }

    /// Waits until this node needn't watch the store.
    pub async fn until_watch_ends(&self) {
        while self.watches_store() {
            let _looked = timeout(DUTY_LOOK, self.watch_duty_changed.notified()).await;
        }
    }
}
