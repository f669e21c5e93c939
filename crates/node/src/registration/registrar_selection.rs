//! Selection of the node that keeps a node's announcement, its registrar.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::member::{MemberRecord, MemberState};

/// Number of members of a data centre for which there is one registrar.
///
/// It bounds a registrar's load and the number of announcements that depend on one lease,
/// whatever the size of the fleet.
const MEMBERS_PER_REGISTRAR: usize = 64;
/// Time for which a node that failed as a registrar isn't used again.
const EXCLUSION_TIME: Duration = Duration::from_secs(5);
/// The same for a node that doesn't know registration calls. It runs an earlier version until
/// it is restarted.
const UNSUPPORTED_EXCLUSION_TIME: Duration = Duration::from_secs(30);

/// Selects the registrar of a node.
///
/// The first members of a data centre, in the order in which all its nodes sort them, are its
/// registrars, and hold leases of their own. Each other node uses the one with the highest hash
/// of both addresses, so that nodes spread evenly, and only those of a lost registrar move. A node
/// keeps its registrar until it fails.
#[derive(Debug)]
pub struct RegistrarSelection {
    own_addr: SocketAddr,
    current: Option<SocketAddr>,
    excluded_until: HashMap<SocketAddr, Duration>,
}

impl RegistrarSelection {
    /// Creates the selection of the node at `own_addr`.
    pub fn new(own_addr: SocketAddr) -> Self {
        Self {
            own_addr,
            current: None,
            excluded_until: HashMap::new(),
        }
    }

    /// Returns the registrar in use; none while the node announces itself.
    pub const fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// Records that `registrar` keeps the announcement, or that no node does.
    pub const fn use_registrar(&mut self, registrar: Option<SocketAddr>) {
        self.current = registrar;
    }

    /// Records that the node at `peer_addr` failed as a registrar.
    pub fn record_failure(&mut self, now: Duration, peer_addr: SocketAddr) {
        self.exclude(now + EXCLUSION_TIME, peer_addr);
    }

    /// Records that the node at `peer_addr` runs a version without registrars.
    pub fn record_unsupported(&mut self, now: Duration, peer_addr: SocketAddr) {
        self.exclude(now + UNSUPPORTED_EXCLUSION_TIME, peer_addr);
    }

    fn exclude(&mut self, until: Duration, peer_addr: SocketAddr) {
        self.excluded_until.insert(peer_addr, until);
        if self.current == Some(peer_addr) {
            self.current = None;
        }
    }

    /// Returns the registrar to use; none if the node is to announce itself.
    ///
    /// `relay_candidates` are the members of the data centre in the order of
    /// [`FleetView::relay_candidates`](crate::member::FleetView::relay_candidates).
    pub fn select(&self, now: Duration, relay_candidates: &[&MemberRecord]) -> Option<SocketAddr> {
        if self.current.is_some() {
            return self.current;
        }
        let registrar_count = relay_candidates.len().div_ceil(MEMBERS_PER_REGISTRAR);
        let is_excluded = |peer_addr: &SocketAddr| {
            let until = self.excluded_until.get(peer_addr);
            until.is_some_and(|&until| now < until)
        };
        let eligible = relay_candidates
            .iter()
            .filter(|record| record.state == MemberState::Ready && !is_excluded(&record.peer_addr));
        let registrars = eligible.map(|record| record.peer_addr);
        let registrars: Vec<SocketAddr> = registrars.take(registrar_count).collect();
        if registrars.contains(&self.own_addr) {
            return None;
        }
        registrars
            .into_iter()
            .max_by_key(|registrar| pair_hash(self.own_addr, *registrar))
    }
}

/// Returns the hash of a node's address and a registrar's (rendezvous hashing).
fn pair_hash(node: SocketAddr, registrar: SocketAddr) -> u64 {
    xxh3_64(format!("{node} {registrar}").as_bytes())
}
