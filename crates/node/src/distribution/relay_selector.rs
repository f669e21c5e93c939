//! Selection of the node that watches the store for others, the relay.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::member::MemberRecord;

/// Age of the store's last response above which a node counts as cut off.
///
/// Announcements are renewed every two seconds, and a call may take one second.
const CUT_OFF_AGE: Duration = Duration::from_millis(3_500);
/// Time for which a node that failed as a relay isn't used again.
const RELAY_EXCLUSION_TIME: Duration = Duration::from_secs(5);
/// Number of cut-off nodes from which on the store counts as unavailable to all.
const CUT_OFF_NODES_MIN: usize = 2;
/// Time for which a node watches the store after an update request.
///
/// A node repeats its request to its relay every two seconds.
const WATCH_TIME_AFTER_REQUEST: Duration = Duration::from_secs(5);

/// Where a node gets configuration and member updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// Directly from the store.
    Store,
    /// From its relay, the node at this address.
    Node(SocketAddr),
}

/// How well a node reaches the store, as that node reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReachability {
    /// Time since the store last responded to the node.
    pub age: Duration,
    /// Whether the node has lost the store.
    pub lost: bool,
}

/// Selects the node that a node takes updates from, its relay.
///
/// Every node needs each change in the store, and there may be several changes a second. If
/// each node watched the store, the number of calls would grow with the fleet. All nodes of a
/// data centre therefore sort its members in the same order, those with the best links first,
/// and use the first one that works as their relay. No election is needed: a node that
/// receives update requests watches the store, even if it would select another relay itself.
/// A relay whose calls the store refuses reports that at once, together with the age of the
/// store's last response. Nodes with a more recent response of the store then skip it.
#[derive(Debug)]
pub struct RelaySelector {
    own_addr: SocketAddr,
    /// When nodes that failed as a relay may be used again.
    failed_until: HashMap<SocketAddr, Duration>,
    /// When nodes that respond, but are cut off, may be used again.
    cut_off_until: HashMap<SocketAddr, Duration>,
    /// Until when this node watches the store on behalf of others.
    watch_until: Duration,
    /// When the store last responded to this node.
    store_answered_at: Duration,
    /// When another node's call last showed that the store responds.
    store_seen_at: Duration,
    store_lost: bool,
    /// Whether the relay that responded last is cut off from the store.
    relay_cut_off: bool,
}

impl RelaySelector {
    /// Creates the relay selector of the node at `own_addr`.
    pub fn new(own_addr: SocketAddr) -> Self {
        Self {
            own_addr,
            failed_until: HashMap::new(),
            cut_off_until: HashMap::new(),
            watch_until: Duration::ZERO,
            store_answered_at: Duration::ZERO,
            store_seen_at: Duration::ZERO,
            store_lost: false,
            relay_cut_off: false,
        }
    }

    /// Records that the store responded to this node, and returns whether it was lost before.
    pub fn record_store_response(&mut self, now: Duration) -> bool {
        self.store_answered_at = now;
        std::mem::take(&mut self.store_lost)
    }

    /// Records that the store responds to another node, which makes calls for this one.
    ///
    /// A node with a registrar doesn't call the store itself.
    pub const fn record_store_seen(&mut self, now: Duration) {
        self.store_seen_at = now;
    }

    /// Records that this node has lost the store.
    ///
    /// Returns whether it hadn't lost the store before.
    pub fn record_store_lost(&mut self) -> bool {
        !std::mem::replace(&mut self.store_lost, true)
    }

    /// Returns whether this node has lost the store: a probe has failed since its last response.
    pub const fn has_lost_store(&self) -> bool {
        self.store_lost
    }

    /// Returns the time since the store last responded to this node.
    pub fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_answered_at)
    }

    /// Records that another node uses this one as its relay.
    pub fn record_update_request(&mut self, now: Duration) {
        self.watch_until = now + WATCH_TIME_AFTER_REQUEST;
    }

    /// Records that the node at `peer_addr` failed to respond as a relay.
    pub fn record_relay_failure(&mut self, now: Duration, peer_addr: SocketAddr) {
        self.failed_until
            .insert(peer_addr, now + RELAY_EXCLUSION_TIME);
    }

    /// Records how well the node at `peer_addr` reaches the store, as it reported.
    ///
    /// A node that is cut off from the store is skipped for a while, unless this node is cut
    /// off as well. Returns whether so many nodes are cut off that this node should probe the
    /// store.
    #[must_use]
    pub fn record_reachability(
        &mut self,
        now: Duration,
        peer_addr: SocketAddr,
        reachability: StoreReachability,
    ) -> bool {
        let cut_off = reachability.lost || reachability.age > CUT_OFF_AGE;
        self.relay_cut_off = cut_off;
        if !cut_off || self.is_cut_off(now) {
            return false;
        }
        self.cut_off_until
            .insert(peer_addr, now + RELAY_EXCLUSION_TIME);
        self.cut_off_node_count(now) >= CUT_OFF_NODES_MIN
    }

    /// Returns whether the relay that responded last is cut off from the store.
    pub const fn is_relay_cut_off(&self) -> bool {
        self.relay_cut_off
    }

    fn is_cut_off(&self, now: Duration) -> bool {
        let seen_age = now.saturating_sub(self.store_seen_at);
        self.store_lost || self.store_age(now).min(seen_age) > CUT_OFF_AGE
    }

    /// Returns whether another node uses this one as its relay.
    ///
    /// A node that is used as a relay watches the store.
    pub fn has_recent_update_request(&self, now: Duration) -> bool {
        now < self.watch_until
    }

    /// Returns whether the store seems unavailable to all nodes, not only to some.
    fn is_store_unavailable(&self, now: Duration) -> bool {
        self.is_cut_off(now) && self.cut_off_node_count(now) >= CUT_OFF_NODES_MIN
    }

    fn cut_off_node_count(&self, now: Duration) -> usize {
        let cut = self.cut_off_until.values().filter(|&&until| now < until);
        cut.count()
    }

    /// Selects the source of updates among the members of the data centre, best first.
    ///
    /// While the store is unavailable to all nodes, a cut-off node may be selected, too: the
    /// first of them probes the store, and tells the others when it is available again.
    pub fn select(&self, now: Duration, relay_candidates: &[&MemberRecord]) -> UpdateSource {
        let cut_off = self.is_cut_off(now);
        let skips_cut_off = !self.is_store_unavailable(now);
        let is_excluded = |exclusions: &HashMap<SocketAddr, Duration>, peer_addr| {
            exclusions.get(peer_addr).is_some_and(|&until| now < until)
        };
        for record in relay_candidates {
            if record.peer_addr == self.own_addr {
                if cut_off {
                    continue;
                }
                return UpdateSource::Store;
            }
            let has_failed = is_excluded(&self.failed_until, &record.peer_addr);
            let is_cut_off = skips_cut_off && is_excluded(&self.cut_off_until, &record.peer_addr);
            if !has_failed && !is_cut_off {
                return UpdateSource::Node(record.peer_addr);
            }
        }
        UpdateSource::Store
    }
}
