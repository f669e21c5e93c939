//! All members, as far as a node knows them.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    LoadReport, MemberKey, MemberRecord, MemberUpdate, MemberView, MovingMean,
    member_distance::NodeLocation, service_pool::ServicePool,
};
use crate::store::Revision;

/// Time for which a member whose announcement vanished without a farewell is
/// kept when the node beside it still answers. The announcement is back
/// within about two seconds if the node lives and reaches the store.
const LAPSE_KEPT: Duration = Duration::from_secs(2);

/// Dropped members that are remembered for nodes that ask for news; one that
/// asks for older news gets the whole list.
const DROPS_KEPT: usize = 256;
/// Weight of one report in the usual time of a run of its class.
const RUN_WEIGHT: f64 = 0.02;

/// How a try at a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryOutcome {
    /// It answered; `failed` when with a failure of its own.
    Answered {
        /// Whether the answer was a failure.
        failed: bool,
    },
    /// The node beside it refused.
    Refused {
        /// Time after which it expects room.
        retry_after: Duration,
    },
    /// The node beside it lives, but has no backend server to give work to.
    NoBackend,
    /// The node beside it refused a long answer, for want of room on its
    /// instance's link.
    LinkRefused {
        /// Time after which it expects room.
        retry_after: Duration,
    },
    /// Nothing has come from it for some runs.
    Silent,
    /// The connection broke, or the answer was unusable.
    ResponseLost,
    /// The node beside it couldn't be reached.
    Unreachable,
    /// This side gave up: the caller left or time ran out.
    Abandoned,
}

/// All members, as far as this node knows them.
///
/// How one is chosen among them stands in `member_choice`.
#[derive(Debug)]
pub struct FleetView {
    location: NodeLocation,
    members: Slab<MemberView>,
    keys: HashMap<SocketAddr, MemberKey>,
    pub(super) services: HashMap<String, ServicePool>,
    /// Seconds of a run of each class, over all members.
    pub(super) class_runs: HashMap<u64, MovingMean>,
    generation: u32,
    /// Revision of the store up to which this is known.
    revision: Revision,
    /// Members that were dropped lately, with the revision of that.
    dropped: VecDeque<(SocketAddr, Revision)>,
    /// Revision up to which drops are forgotten, or were never seen.
    forgotten: Revision,
}

impl FleetView {
    /// Makes an empty view for a node in `data_centre` without a backend server.
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self::with_location(data_centre.into(), None)
    }

    /// Makes an empty view for a node in `data_centre` whose own backend server is
    /// announced at `peer_addr`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::FleetView;
    ///
    /// let fleet = FleetView::with_local_endpoint("hofdi", "10.1.0.4:7600".parse()?);
    /// assert!(fleet.is_empty());
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn with_local_endpoint(data_centre: impl Into<String>, peer_addr: SocketAddr) -> Self {
        Self::with_location(data_centre.into(), Some(peer_addr))
    }

    fn with_location(data_centre: String, peer_addr: Option<SocketAddr>) -> Self {
        Self {
            location: NodeLocation {
                data_centre,
                peer_addr,
            },
            members: Slab::new(),
            keys: HashMap::new(),
            services: HashMap::new(),
            class_runs: HashMap::new(),
            generation: 0,
            revision: Revision(0),
            dropped: VecDeque::new(),
            forgotten: Revision(0),
        }
    }

    /// Takes in an announcement and returns whether it changed anything.
    ///
    /// News come over several ways, the node's own writes among them; an
    /// announcement older than the one known changes nothing.
    pub fn announce(&mut self, now: Duration, record: MemberRecord, revision: Revision) -> bool {
        let Some(&key) = self.keys.get(&record.peer_addr) else {
            self.insert(now, record, revision);
            return true;
        };
        let member = &mut self.members[key.index as usize];
        if revision < member.revision {
            return false;
        }
        member.revision = revision;
        let changed = member.record != record || member.lapsed_at.is_some();
        let moved = member.record.service != record.service;
        member.announce(now, record);
        if moved {
            self.index_services();
        }
        changed
    }

    /// Takes in that an announcement is no longer in the store, and returns
    /// whether that is news.
    ///
    /// The member is kept for a moment: the store drops announcements while it
    /// is away, and a node that lives writes its own again.
    pub fn lapse(&mut self, now: Duration, peer_addr: SocketAddr, revision: Revision) -> bool {
        let key = self.keys.get(&peer_addr);
        key.is_some_and(|key| self.members[key.index as usize].lapse(now, revision))
    }

    /// Takes in that the members are known from a list of `revision`: those that
    /// aren't in `present` have lapsed.
    ///
    /// Members that came and went before the list were never seen here, so
    /// whoever asks for what happened since an earlier time gets the whole list.
    pub fn listed(
        &mut self,
        now: Duration,
        revision: Revision,
        present: impl Fn(&SocketAddr) -> bool,
    ) {
        for (_, member) in &mut self.members {
            if !present(&member.record.peer_addr) {
                member.lapse(now, revision);
            }
        }
        self.forgotten = self.forgotten.max(revision);
        self.advance(revision);
    }

    /// Drops members whose announcement has been missing for too long, and
    /// returns them.
    pub fn sweep(&mut self, now: Duration) -> Vec<MemberRecord> {
        let gone = self.members.iter().filter(|(_, member)| {
            let kept = |at: Duration| now < at + LAPSE_KEPT;
            member.lapsed_at.is_some_and(|at| !kept(at))
        });
        let gone: Vec<usize> = gone.map(|(index, _)| index).collect();
        let mut records = Vec::with_capacity(gone.len());
        for index in gone {
            let member = self.members.remove(index);
            self.keys.remove(&member.record.peer_addr);
            self.note_drop(member.record.peer_addr, member.revision);
            records.push(member.record);
        }
        if !records.is_empty() {
            self.index_services();
        }
        records
    }

    /// Drops a member that said farewell.
    pub fn remove(&mut self, peer_addr: SocketAddr, revision: Revision) {
        if let Some(key) = self.keys.remove(&peer_addr) {
            self.members.remove(key.index as usize);
            self.note_drop(peer_addr, revision);
            self.index_services();
        }
    }

    /// Returns the revision of the store up to which the members are known.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Notes that the members are known up to `revision`.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns what happened after `since`, for another node.
    pub fn update_since(&self, since: Revision) -> MemberUpdate {
        let whole = since == Revision(0) || since < self.forgotten;
        let fresh = |revision: Revision| whole || revision > since;
        let members = self.members.iter().map(|(_, member)| member);
        let members = members.filter(|member| fresh(member.revision));
        let (lapsed, written): (Vec<_>, Vec<_>) = members.partition(|member| member.has_lapsed());
        let dropped = self.dropped.iter().filter(|(_, revision)| fresh(*revision));
        let lapsed = lapsed
            .into_iter()
            .map(|member| (member.record.peer_addr, member.revision));
        let lapsed = lapsed.chain(dropped.copied());
        let written = written.into_iter();
        MemberUpdate {
            revision: self.revision.0,
            whole,
            written: written
                .map(|member| (member.record.clone(), member.revision.0))
                .collect(),
            lapsed: lapsed
                .map(|(peer_addr, revision)| (peer_addr, revision.0))
                .collect(),
        }
    }

    /// Returns the members of this node's data centre, best link first, in an
    /// order that all nodes share.
    pub fn relay_candidates(&self) -> Vec<&MemberRecord> {
        let near = self.members.iter().map(|(_, member)| member);
        let near = near.filter(|member| member.is_near() && !member.has_lapsed());
        let mut records: Vec<&MemberRecord> = near.map(|member| &member.record).collect();
        records.sort_by_key(|record| {
            let place = xxh3_64(record.peer_addr.to_string().as_bytes());
            (Reverse(record.link_mbps), place)
        });
        records
    }

    /// Yields the addresses of the nodes that nothing speaks against asking now.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        let open = self.members.iter().map(|(_, member)| member);
        let open = open.filter(move |member| !member.has_lapsed() && member.is_open(now));
        open.map(|member| member.record.peer_addr)
    }

    /// Returns a member, unless it has gone.
    pub fn get(&self, key: MemberKey) -> Option<&MemberView> {
        let member = self.members.get(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    /// Returns the key of the member at `peer_addr`.
    pub fn key_of(&self, peer_addr: SocketAddr) -> Option<MemberKey> {
        self.keys.get(&peer_addr).copied()
    }

    /// Returns the member at `peer_addr`, if one is known.
    pub fn at(&self, peer_addr: SocketAddr) -> Option<&MemberView> {
        self.get(self.key_of(peer_addr)?)
    }

    /// Returns the members' announcements.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|(_, member)| &member.record)
    }

    /// Returns how many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Notes that a request goes to `key`.
    pub fn request_sent(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.request_sent();
        }
    }

    /// Takes in the load that came with an answer to a request of `route_hash`, or
    /// with a refusal of one.
    pub fn record_load(
        &mut self,
        now: Duration,
        key: MemberKey,
        route_hash: u64,
        report: LoadReport,
    ) {
        let run = report.run.as_secs_f64();
        let usual = self.class_runs.entry(route_hash).or_default();
        if run > 0.0 {
            usual.observe(run, RUN_WEIGHT);
        }
        let usual = usual.get();
        let Some((member, pool)) = self.get_with_pool(key) else {
            return;
        };
        member.record_load(now, route_hash, report, usual);
        if let Some(pool) = pool {
            pool.record_load(report, member.record.slots);
        }
    }

    /// Takes in how a try at `key` went, as soon as that is known.
    pub fn record_try_outcome(&mut self, now: Duration, key: MemberKey, end: TryOutcome) {
        let Some((member, pool)) = self.get_with_pool(key) else {
            return;
        };
        match end {
            TryOutcome::Answered { failed } => member.answered(now, failed),
            TryOutcome::Refused { retry_after } => member.refused(now, retry_after),
            TryOutcome::LinkRefused { retry_after } => member.link_refused(now, retry_after),
            TryOutcome::NoBackend => member.shut(now),
            TryOutcome::ResponseLost => member.broke(),
            TryOutcome::Unreachable | TryOutcome::Silent => member.unreachable(now),
            TryOutcome::Abandoned => {}
        }
        if let (TryOutcome::Answered { failed }, Some(pool)) = (end, pool) {
            pool.answered(failed);
        }
    }

    /// Notes that nothing more comes of a request; each
    /// [`FleetView::request_sent`] needs one call of this.
    pub fn request_ended(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.request_ended();
        }
    }

    fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberView> {
        let member = self.members.get_mut(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    /// Returns a member, unless it has gone, and the members of its service.
    fn get_with_pool(
        &mut self,
        key: MemberKey,
    ) -> Option<(&mut MemberView, Option<&mut ServicePool>)> {
        let member = self.members.get_mut(key.index as usize)?;
        if member.generation != key.generation {
            return None;
        }
        let pool = self.services.get_mut(&member.record.service);
        Some((member, pool))
    }

    fn insert(&mut self, now: Duration, record: MemberRecord, revision: Revision) {
        self.generation += 1;
        let distance = self.location.distance(&record);
        let (peer_addr, service) = (record.peer_addr, record.service.clone());
        let mut member = MemberView::new(now, record, distance, self.generation);
        member.revision = revision;
        let index = self.members.insert(member) as u32;
        let generation = self.generation;
        let key = MemberKey { index, generation };
        self.keys.insert(peer_addr, key);
        self.services.entry(service).or_default().keys.push(key);
    }

    fn note_drop(&mut self, peer_addr: SocketAddr, revision: Revision) {
        if self.dropped.len() == DROPS_KEPT
            && let Some((_, forgotten)) = self.dropped.pop_front()
        {
            self.forgotten = self.forgotten.max(forgotten);
        }
        self.dropped.push_back((peer_addr, revision));
    }

    fn index_services(&mut self) {
        for pool in self.services.values_mut() {
            pool.keys.clear();
        }
        for (index, member) in &self.members {
            let generation = member.generation;
            let key = MemberKey {
                index: index as u32,
                generation,
            };
            let service = member.record.service.clone();
            self.services.entry(service).or_default().keys.push(key);
        }
    }
}
