//! A node's view of all members.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use slab::Slab;

use super::{
    EndpointStart, LoadReport, MemberKey, MemberRecord, MemberUpdate, MemberView, MovingMean,
    left_starts::LeftStarts, member_distance::NodeLocation, service_pool::ServicePool,
};
use crate::store::Revision;

/// Time for which a member is kept after its announcement lapsed.
///
/// An announcement lapses when it disappears from the store without being deleted by its
/// node. A node that is alive and reaches the store announces the member again within about
/// two seconds. In the meantime the member gets requests only if it has responded since.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Largest number of dropped members that are remembered for nodes that ask for updates. A
/// node that asks for changes from before these drops gets the whole list.
const DROPS_MAX: usize = 256;
/// Weight of one load report in the mean run time of its route over all members.
const RUN_TIME_WEIGHT: f64 = 0.02;

/// Outcome of sending a request to a member once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryOutcome {
    /// The backend server responded.
    Answered {
        /// Whether the response was a server error (5xx).
        failed: bool,
    },
    /// The member's node or backend server refused the request.
    Refused {
        /// Time after which capacity is expected.
        retry_after: Duration,
    },
    /// The member's node is alive, but has no backend server that takes requests.
    NoBackend,
    /// The member's node refused because its backend server has named a limit.
    LimitRefused {
        /// Time after which the limit is expected to have room.
        retry_after: Duration,
    },
    /// The member's node refused a long response because its instance's link is full.
    LinkRefused {
        /// Time after which the link is expected to have capacity.
        retry_after: Duration,
    },
    /// The member sent this node nothing within the silence timeout.
    Silent,
    /// The request was sent, but the connection broke or the response was unusable.
    ResponseLost,
    /// The member's node couldn't be reached.
    Unreachable,
    /// This node gave up because the caller left or the time ran out.
    Abandoned,
}

/// All members that this node knows, with what it has observed of them.
///
/// The module `member_choice` holds the selection of a member for a request.
#[derive(Debug)]
pub struct FleetView {
    location: NodeLocation,
    members: Slab<MemberView>,
    keys_by_addr: HashMap<SocketAddr, MemberKey>,
    pub(super) services: HashMap<String, ServicePool>,
    /// Mean run time in seconds by route hash, over all members.
    pub(super) route_run_times: HashMap<u64, MovingMean>,
    left_starts: LeftStarts,
    generation: u32,
    /// Number of changes that an update for other nodes may depend on.
    change_count: u64,
    /// Revision of the store up to which the members are known.
    revision: Revision,
    /// Recently dropped members, with the revision at which each was dropped.
    dropped: VecDeque<(SocketAddr, Revision)>,
    /// Revision up to which drops may be missing from `dropped`: they were evicted from it,
    /// or happened before the last full list.
    forgotten: Revision,
}

impl FleetView {
    /// Creates an empty view for a node in `data_centre` without a backend server.
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self::with_location(data_centre.into(), None)
    }

    /// Creates an empty view for a node in `data_centre` with a backend server.
    ///
    /// The node announces its backend server at `peer_addr`.
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
            keys_by_addr: HashMap::new(),
            services: HashMap::new(),
            route_run_times: HashMap::new(),
            left_starts: LeftStarts::default(),
            generation: 0,
            change_count: 0,
            revision: Revision(0),
            dropped: VecDeque::new(),
            forgotten: Revision(0),
        }
    }

    /// Applies an announcement and returns whether it changed anything.
    ///
    /// Announcements arrive from several sources, among them the node's own writes, so they
    /// may be out of order. One that is older than the known one is ignored.
    ///
    /// A start that said later that it leaves gets no requests, whatever is announced.
    pub fn announce(&mut self, now: Duration, record: MemberRecord, revision: Revision) -> bool {
        self.change_count += 1;
        self.left_starts.observe(now, &record);
        let Some(&key) = self.keys_by_addr.get(&record.peer_addr) else {
            self.insert(now, record, revision);
            return true;
        };
        let member = &mut self.members[key.index as usize];
        if revision < member.revision {
            return false;
        }
        member.revision = revision;
        let changed = !member.record.covers(&record) || member.lapsed_at.is_some();
        let moved = member.record.service != record.service;
        if changed {
            member.changed_at = revision;
        }
        member.announce(now, record);
        member.has_left = self.left_starts.contains(&member.record);
        if moved {
            self.index_services();
        }
        changed
    }

    /// Marks a member's announcement as missing and returns whether that is new.
    ///
    /// The member is kept for a grace period: the store may drop announcements during an
    /// outage, and a node that is alive writes its own again.
    pub fn lapse(&mut self, now: Duration, peer_addr: SocketAddr, revision: Revision) -> bool {
        self.change_count += 1;
        let key = self.keys_by_addr.get(&peer_addr);
        key.is_some_and(|key| self.members[key.index as usize].lapse(now, revision))
    }

    /// Applies a full list of the announcements at `revision`.
    ///
    /// Members for which `present` returns false are marked as missing. Members that came
    /// and went before the list were never seen here, so a node that asks for the changes
    /// since an earlier revision gets the whole list.
    pub fn apply_list(
        &mut self,
        now: Duration,
        revision: Revision,
        present: impl Fn(&SocketAddr) -> bool,
    ) {
        self.change_count += 1;
        for (_, member) in &mut self.members {
            if !present(&member.record.peer_addr) {
                member.lapse(now, revision);
            }
        }
        self.forgotten = self.forgotten.max(revision);
        self.advance(revision);
    }

    /// Drops and returns the members whose announcement has been missing for too long.
    pub fn sweep(&mut self, now: Duration) -> Vec<MemberRecord> {
        self.left_starts.sweep(now);
        let expired = self.members.iter().filter(|(_, member)| {
            let in_grace_period = |at: Duration| now < at + LAPSE_GRACE;
            member.lapsed_at.is_some_and(|at| !in_grace_period(at))
        });
        let expired: Vec<usize> = expired.map(|(index, _)| index).collect();
        let mut records = Vec::with_capacity(expired.len());
        for index in expired {
            let member = self.members.remove(index);
            self.keys_by_addr.remove(&member.record.peer_addr);
            self.record_drop(member.record.peer_addr, member.revision);
            records.push(member.record);
        }
        if !records.is_empty() {
            self.index_services();
        }
        records
    }

    /// Drops a member whose node deleted its announcement.
    pub fn remove(&mut self, peer_addr: SocketAddr, revision: Revision) {
        if let Some(key) = self.keys_by_addr.remove(&peer_addr) {
            self.members.remove(key.index as usize);
            self.record_drop(peer_addr, revision);
            self.index_services();
        }
    }

    /// Returns the revision of the store up to which the members are known.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that the members are known up to `revision`.
    pub fn advance(&mut self, revision: Revision) {
        if revision > self.revision {
            self.revision = revision;
            self.change_count += 1;
        }
    }

    /// Returns a number that grows with each change on which [`FleetView::update_since`] depends.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the changes after `since`, for another node.
    ///
    /// The update is the whole list if `since` is zero or from before the remembered drops.
    pub fn update_since(&self, since: Revision) -> MemberUpdate {
        let whole = since == Revision(0) || since < self.forgotten;
        let is_newer = |revision: Revision| whole || revision > since;
        let members = self.members.iter().map(|(_, member)| member);
        let members = members.filter(|member| is_newer(member.changed_at));
        let (lapsed, written): (Vec<_>, Vec<_>) = members.partition(|member| member.has_lapsed());
        let dropped = self
            .dropped
            .iter()
            .filter(|(_, revision)| is_newer(*revision));
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

    /// Returns the announced members of this node's data centre, fastest link first.
    ///
    /// Members with equal links are ordered by a hash of their address, so all nodes get the
    /// same order.
    pub fn relay_candidates(&self) -> Vec<&MemberRecord> {
        self.near_records(|member| !member.has_lapsed())
    }

    /// Returns the members of this node's data centre whose announcements lapsed a moment ago, in
    /// the same order.
    ///
    /// They may be alive and reach the store.
    pub fn lapsed_relay_candidates(&self) -> Vec<&MemberRecord> {
        self.near_records(MemberView::has_lapsed)
    }

    fn near_records(&self, filter: impl Fn(&MemberView) -> bool) -> Vec<&MemberRecord> {
        let near = self.members.iter().map(|(_, member)| member);
        let near = near.filter(|member| member.is_near() && filter(member));
        let mut near: Vec<&MemberView> = near.collect();
        near.sort_unstable_by_key(|member| (Reverse(member.record.link_mbps), member.relay_hash));
        near.into_iter().map(|member| &member.record).collect()
    }

    /// Yields the announcements of all members that haven't lapsed.
    pub fn announced_records(&self) -> impl Iterator<Item = &MemberRecord> {
        let announced = self.members.iter().map(|(_, member)| member);
        let announced = announced.filter(|member| !member.has_lapsed());
        announced.map(|member| &member.record)
    }

    /// Yields the addresses of nodes that are announced, not ejected, and haven't just
    /// refused.
    pub fn reachable(&self, now: Duration) -> impl Iterator<Item = SocketAddr> {
        let available = self.members.iter().map(|(_, member)| member);
        let available =
            available.filter(move |member| !member.has_lapsed() && member.is_available(now));
        available.map(|member| member.record.peer_addr)
    }

    /// Returns the member of `key`, or none if it was dropped.
    pub fn get(&self, key: MemberKey) -> Option<&MemberView> {
        let member = self.members.get(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    /// Returns the key of the member at `peer_addr`.
    pub fn key_of(&self, peer_addr: SocketAddr) -> Option<MemberKey> {
        self.keys_by_addr.get(&peer_addr).copied()
    }

    /// Returns the member at `peer_addr`, if one is known.
    pub fn member_at(&self, peer_addr: SocketAddr) -> Option<&MemberView> {
        self.get(self.key_of(peer_addr)?)
    }

    /// Yields the last announcement of each known member, including lapsed ones.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().map(|(_, member)| &member.record)
    }

    /// Returns the number of known members, including those that take no requests.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Counts a request as outstanding at `key`.
    pub fn record_request_sent(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.record_request_sent();
        }
    }

    /// Records a load report that came with a response or a refusal.
    ///
    /// The request was one of the route with `route_hash`.
    pub fn record_load(
        &mut self,
        now: Duration,
        key: MemberKey,
        route_hash: u64,
        report: LoadReport,
    ) {
        let run = report.base_route_run_s();
        let mean = self.route_run_times.entry(route_hash).or_default();
        if run > 0.0 {
            mean.observe(run, RUN_TIME_WEIGHT);
        }
        let mean_run_s = mean.get();
        let Some((member, pool)) = self.get_with_pool(key) else {
            return;
        };
        member.record_load(now, route_hash, report, mean_run_s);
        if let Some(pool) = pool {
            pool.record_load(report, member.record.slots);
        }
    }

    /// Records the outcome of a try at `key`.
    pub fn record_try_outcome(&mut self, now: Duration, key: MemberKey, outcome: TryOutcome) {
        let Some((member, pool)) = self.get_with_pool(key) else {
            return;
        };
        match outcome {
            TryOutcome::Answered { failed } => member.record_answered(now, failed),
            TryOutcome::Refused { retry_after } => member.record_refused(now, retry_after),
            TryOutcome::LinkRefused { retry_after } => member.record_link_refused(now, retry_after),
            TryOutcome::LimitRefused { retry_after } => {
                member.record_limit_refused(now, retry_after);
            }
            TryOutcome::NoBackend => member.record_no_backend(now),
            TryOutcome::ResponseLost => member.record_response_lost(),
            TryOutcome::Unreachable | TryOutcome::Silent => member.record_unreachable(now),
            TryOutcome::Abandoned => {}
        }
        if let (TryOutcome::Answered { failed }, Some(pool)) = (outcome, pool) {
            pool.record_answered(failed);
        }
    }

    /// Records the head of a response of `key` whose body is still to arrive.
    pub fn record_response_head(&mut self, now: Duration, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.record_response_head(now);
        }
    }

    /// Records that a start said in a response that it leaves, and returns whether that is new.
    ///
    /// The start gets no new requests of this node, whatever is announced. Its announcement may have
    /// been dropped and come back while the request ran, so the member isn't looked up by the key to
    /// which the request was sent.
    pub fn record_leaving(&mut self, now: Duration, start: &EndpointStart) -> bool {
        let is_new = self.left_starts.insert_by_response(now, start);
        if is_new {
            self.apply_left_starts();
        }
        is_new
    }

    /// Records leavings that another node knows of.
    pub fn record_left(&mut self, now: Duration, records: &[MemberRecord]) {
        for record in records {
            self.left_starts.observe(now, record);
        }
        self.apply_left_starts();
    }

    /// Returns the announcements of starts that have left, in the order in which they were last heard
    /// of, for other nodes.
    ///
    /// They outlive the members: an announcement ends with its lease, or is lost with the store's data.
    pub fn left_records(&self) -> Vec<&MemberRecord> {
        self.left_starts.records()
    }

    fn apply_left_starts(&mut self) {
        for (_, member) in &mut self.members {
            member.has_left = self.left_starts.contains(&member.record);
        }
    }

    /// Counts a request at `key` as no longer outstanding.
    ///
    /// Each call of [`FleetView::record_request_sent`] needs one call of this method.
    pub fn record_request_ended(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.record_request_ended();
        }
    }

    fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberView> {
        let member = self.members.get_mut(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    /// Returns the member of `key` and its service's pool, or none if it was dropped.
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
        member.changed_at = revision;
        member.has_left = self.left_starts.contains(&member.record);
        let index = self.members.insert(member) as u32;
        let generation = self.generation;
        let key = MemberKey { index, generation };
        self.keys_by_addr.insert(peer_addr, key);
        self.services.entry(service).or_default().keys.push(key);
    }

    fn record_drop(&mut self, peer_addr: SocketAddr, revision: Revision) {
        self.change_count += 1;
        if self.dropped.len() == DROPS_MAX
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
