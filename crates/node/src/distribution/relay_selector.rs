//! Which node watches the store for whom.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::member::MemberRecord;

/// Time since the store's last answer after which a node counts as cut off
/// from it. Announcements are renewed every two seconds, and a call may take
/// one.
const STORE_STALE: Duration = Duration::from_millis(3_500);
/// Time for which a node that failed as a relay isn't asked again.
const RELAY_OUT: Duration = Duration::from_secs(5);
/// Nodes that say they have lost the store from which on it is taken to be away for all.
const LOST_FOR_ALL: usize = 2;
/// Time after a question for which a node watches the store because of it.
/// Whoever follows asks again every two seconds.
const ASKED_TIME: Duration = Duration::from_secs(5);

/// Where a node gets its news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// From the store.
    Store,
    /// From the node at this address.
    Node(SocketAddr),
}

/// A node's contact with the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReachability {
    /// Time since the store last answered it.
    pub age: Duration,
    /// Whether the store doesn't answer it now.
    pub lost: bool,
}

/// Chooses which node watches the store for whom.
///
/// A change in the store concerns every node, and comes several times a second at times;
/// if each node watched, the calls would grow with the fleet. All nodes of a data centre
/// order its members alike, those with the best links first, and ask the first that
/// doesn't fail them. No election is needed: a node that is asked watches the store,
/// whatever its own view of the order. A relay that the store turns away tells so at
/// once, and how old its news are, and is passed over by whoever has heard of the store
/// since.
#[derive(Debug)]
pub struct RelaySelector {
    own: SocketAddr,
    out_until: HashMap<SocketAddr, Duration>,
    /// Nodes that answer but are cut off from the store.
    cut_until: HashMap<SocketAddr, Duration>,
    asked_until: Duration,
    store_seen: Duration,
    store_lost: bool,
    /// Whether the node that was asked last is cut off from the store.
    asked_cut_off: bool,
}

impl RelaySelector {
    /// Makes the relay selector of the node at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            out_until: HashMap::new(),
            cut_until: HashMap::new(),
            asked_until: Duration::ZERO,
            store_seen: Duration::ZERO,
            store_lost: false,
            asked_cut_off: false,
        }
    }

    /// Notes that the store answered, and returns whether it was lost before.
    pub fn store_answered(&mut self, now: Duration) -> bool {
        self.store_seen = now;
        std::mem::take(&mut self.store_lost)
    }

    /// Notes that the store doesn't answer this node, and returns whether that is
    /// news.
    pub fn store_lost(&mut self) -> bool {
        !std::mem::replace(&mut self.store_lost, true)
    }

    /// Whether the store doesn't answer this node.
    pub const fn has_lost_store(&self) -> bool {
        self.store_lost
    }

    /// Returns the time since the store's last answer.
    pub fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_seen)
    }

    /// Notes that another node asked this one.
    pub fn record_update_request(&mut self, now: Duration) {
        self.asked_until = now + ASKED_TIME;
    }

    /// Notes that the node at `peer_addr` gave no answer.
    pub fn record_relay_failure(&mut self, now: Duration, peer_addr: SocketAddr) {
        self.out_until.insert(peer_addr, now + RELAY_OUT);
    }

    /// Takes in what the node at `peer_addr` told of its contact with the store, and returns
    /// whether this node should check its own. A node that is cut off from the store is
    /// passed over, unless this one is as well.
    #[must_use]
    pub fn record_reachability(
        &mut self,
        now: Duration,
        peer_addr: SocketAddr,
        contact: StoreReachability,
    ) -> bool {
        let cut_off = contact.lost || contact.age > STORE_STALE;
        self.asked_cut_off = cut_off;
        if !cut_off || self.is_cut_off(now) {
            return false;
        }
        self.cut_until.insert(peer_addr, now + RELAY_OUT);
        self.cut_nodes(now) >= LOST_FOR_ALL
    }

    /// Whether the node that was asked last is cut off from the store.
    pub const fn is_relay_cut_off(&self) -> bool {
        self.asked_cut_off
    }

    fn is_cut_off(&self, now: Duration) -> bool {
        self.store_lost || self.store_age(now) > STORE_STALE
    }

    /// Whether this node watches the store because another asked it.
    pub fn has_recent_update_request(&self, now: Duration) -> bool {
        now < self.asked_until
    }

    /// Whether the store seems to be away for everybody, not for single nodes.
    fn is_lost_for_all(&self, now: Duration) -> bool {
        self.is_cut_off(now) && self.cut_nodes(now) >= LOST_FOR_ALL
    }

    fn cut_nodes(&self, now: Duration) -> usize {
        let cut = self.cut_until.values().filter(|&&until| now < until);
        cut.count()
    }

    /// Chooses among the members of the data centre, best first.
    ///
    /// While the store is away for all, nodes that have lost it are followed as well:
    /// the first of them looks for it, and tells the others when it is back.
    pub fn choose(&self, now: Duration, relay_candidates: &[&MemberRecord]) -> UpdateSource {
        let cut_off = self.is_cut_off(now);
        let skips_cut = !self.is_lost_for_all(now);
        let holds = |marks: &HashMap<SocketAddr, Duration>, peer_addr| {
            marks.get(peer_addr).is_some_and(|&until| now < until)
        };
        for record in relay_candidates {
            if record.peer_addr == self.own {
                if cut_off {
                    continue;
                }
                return UpdateSource::Store;
            }
            let out = holds(&self.out_until, &record.peer_addr);
            let cut = skips_cut && holds(&self.cut_until, &record.peer_addr);
            if !out && !cut {
                return UpdateSource::Node(record.peer_addr);
            }
        }
        UpdateSource::Store
    }
}
