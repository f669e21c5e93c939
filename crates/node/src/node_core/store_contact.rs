//! Whether this node reaches the store, and whether it watches it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::time::timeout;

use super::NodeCore;
use crate::{
    distribution::{EncodedMembers, StoreProbeDuty, UpdateSource},
    store::{ReadConsistency, Revision, StoreError},
};

/// Interval of checks whether this node still has to watch the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which the nodes of a new fleet announce themselves: two heartbeats.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Longest wait for a relay to deliver the first configuration and members.
const FIRST_UPDATE_TIMEOUT: Duration = Duration::from_secs(1);

impl NodeCore {
    /// Records that the store responded to a call.
    pub fn record_store_response(&self) {
        let now = self.clock.now();
        if self.relay_selector.borrow_mut().record_store_response(now) {
            // Nodes that use this one as their relay wait for this update.
            self.update_arrived.notify_waiters();
        }
        if self.store_access.borrow_mut().record_success() {
            info!(self.log.logger(), "store regained");
        }
    }

    /// Records that the store call `call` failed, and wakes the probe of the store.
    pub fn record_store_failure(&self, call: &'static str, cause: &StoreError) {
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

    /// Tells the nodes that use this node as their relay that it has lost the store.
    ///
    /// A single failed call isn't enough for that, as connections may be reset and responses
    /// lost while the store is available.
    pub fn notify_store_lost(&self) {
        if self.relay_selector.borrow_mut().record_store_lost() {
            self.update_arrived.notify_waiters();
            self.watch_duty_changed.notify_waiters();
        }
    }

    /// Starts a probe of the store because several relays have lost it.
    pub fn recheck_store(&self) {
        if self.store_access.borrow_mut().recheck() {
            info!(self.log.logger(), "rechecking the store"; "cause" => "other nodes lost it");
            self.store_lost.notify_one();
        }
    }

    /// Records that the node at `peer_addr`, which had lost the store, reaches it again.
    ///
    /// If this node had suspended its store calls, it resumes them.
    pub fn record_store_reached(&self, peer_addr: SocketAddr) {
        if self.store_access.borrow().allows_calls() {
            return;
        }
        info!(self.log.logger(), "store reached by another node"; "from" => %peer_addr);
        self.store_access.borrow_mut().record_probe_success();
        self.store_back.notify_waiters();
        self.watch_duty_changed.notify_waiters();
    }

    /// Waits until the store may be called.
    ///
    /// Returns at once if store calls aren't suspended.
    pub async fn until_store_back(&self) {
        while !self.store_access.borrow().allows_calls() {
            self.store_back.notified().await;
        }
    }

    /// Returns whether the fleet has just started for the first time.
    ///
    /// Its nodes are announcing themselves, so the store is polled instead of watched.
    pub fn is_settling(&self) -> bool {
        self.settings.first_start && self.clock.now() < SETTLE_TIME
    }

    /// Returns the consistency of this process's first reads of the store.
    ///
    /// While a fleet starts for the first time, reads may be serializable: the store holds no
    /// older state that a read could return. Each node reads the store itself then, as it
    /// doesn't know another node yet.
    pub fn first_read_consistency(&self) -> ReadConsistency {
        if self.is_settling() {
            ReadConsistency::Serializable
        } else {
            ReadConsistency::Linearizable
        }
    }

    /// Records that another node uses this node as its relay.
    pub fn record_update_request(&self) {
        self.relay_selector
            .borrow_mut()
            .record_update_request(self.clock.now());
        self.watch_duty_changed.notify_waiters();
    }

    /// Records that the members of this data centre have been listed.
    pub fn record_local_members_listed(&self) {
        self.local_members_listed_at.set(Some(self.clock.now()));
        self.watch_duty_changed.notify_waiters();
        self.announcement_changed.notify_one();
    }

    /// Returns whether this node knows which nodes can be its relay.
    ///
    /// Where the whole fleet starts for the first time, it is also true if there is none yet.
    pub fn knows_local_members(&self) -> bool {
        self.local_members_listed_at.get().is_some()
    }

    /// Returns whether a new node still waits for its relay's first updates.
    ///
    /// After a power failure all nodes of a data centre start in the same second. If each of
    /// them read a large configuration from the store, the store's link and their own links
    /// would be saturated.
    fn may_wait_for_relay(&self, now: Duration) -> bool {
        let listed = self.local_members_listed_at.get();
        listed.is_some_and(|at| now < at + FIRST_UPDATE_TIMEOUT)
    }

    /// Returns where this node gets its configuration and member updates.
    ///
    /// Without the first updates of a relay it is the store, unless this node has lost it.
    pub fn update_source(&self) -> UpdateSource {
        let now = self.clock.now();
        let fleet = self.fleet.borrow();
        let relay_selector = self.relay_selector.borrow();
        let has_first_updates = fleet.revision() != Revision(0) && self.config.borrow().is_some();
        let reads_first_updates = !has_first_updates && !self.may_wait_for_relay(now);
        if reads_first_updates && !relay_selector.has_lost_store() {
            return UpdateSource::Store;
        }
        let source = relay_selector.select(now, &fleet.relay_candidates());
        if source == UpdateSource::Store && relay_selector.has_lost_store() {
            // A store that lost its data may have taken the announcements of nodes that are alive.
            return relay_selector.select(now, &fleet.lapsed_relay_candidates());
        }
        source
    }

    /// Returns the changes of the members after `since`, for another node.
    pub fn members_since(&self, since: Revision) -> Rc<EncodedMembers> {
        let fleet = self.fleet.borrow();
        self.member_updates.borrow_mut().update_since(&fleet, since)
    }

    /// Returns whether this node watches the store.
    ///
    /// A node watches the store if it has no relay or is itself the relay of another node.
    pub fn watches_store(&self) -> bool {
        let is_relay = self
            .relay_selector
            .borrow()
            .has_recent_update_request(self.clock.now());
        self.knows_local_members() && (is_relay || self.update_source() == UpdateSource::Store)
    }

    /// Returns which node probes a store that this node has lost.
    pub fn store_probe_duty(&self) -> StoreProbeDuty {
        if self.watches_store() || !self.knows_local_members() {
            StoreProbeDuty::Own
        } else if self.relay_selector.borrow().is_relay_cut_off() {
            StoreProbeDuty::ByRelay
        } else {
            StoreProbeDuty::Alone
        }
    }

    /// Waits until `watches` returns false: this node needn't watch these keys any more.
    pub async fn until_watch_ends(&self, watches: impl Fn(&Self) -> bool) {
        while watches(self) {
            let _notified = timeout(WATCH_CHECK_INTERVAL, self.watch_duty_changed.notified()).await;
        }
    }
}
