//! All members, and the choice among them.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, RngExt};
use slab::Slab;
use xxhash_rust::xxh3::xxh3_64;

use super::{LoadReport, MemberKey, MemberNews, MemberRecord, MemberView, PickQuery};
use crate::store::Revision;

/// Cost of a kilobyte from another data centre, as waiting time: links between
/// data centres are paid by the byte, so a 90 kB file is worth a wait of 0.27 s
/// at home, and a 5 kB lookup one of 15 ms.
const FAR_KB_COST_S: f64 = 0.003;
/// Bytes assumed of an answer of unknown size.
const BYTES_UNKNOWN: u64 = 5_000;
/// Spread of the noise put on each cost. Nodes share stale reports; without
/// noise they all take the same member until the next report.
const NOISE: f64 = 0.15;
/// Time for which a member whose announcement vanished without a farewell is
/// kept when the node beside it still answers. The announcement is back
/// within about two seconds if the node lives and reaches the store.
const LAPSE_KEPT: Duration = Duration::from_secs(2);

/// Dropped members that are remembered for nodes that ask for news; one that
/// asks for older news gets the whole list.
const DROPS_KEPT: usize = 256;
/// Expected times to an answer for which a member may stay silent. One run in
/// a hundred takes three times the mean.
const PATIENCE_RUNS: f64 = 3.0;
/// Least time for which a member may stay silent: a machine that has used up
/// its share of the processor stands still for a tenth of a second.
const PATIENCE_MIN: Duration = Duration::from_millis(300);
/// Part of a member's failure rate below which another counts as healthier.
/// After a single failure among good answers the rate is 0.1 or more, and the
/// usual rate of the others 0.02.
const HEALTHIER: f64 = 0.5;

/// How a try at a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryEnd {
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
    /// The node beside it refused a long answer, for want of room on its
    /// instance's link.
    LinkRefused {
        /// Time after which it expects room.
        retry_after: Duration,
    },
    /// Nothing has come from it for some runs.
    Silent,
    /// The connection broke, or the answer was unusable.
    Broke,
    /// The node beside it couldn't be reached.
    Unreachable,
    /// This side gave up: the caller left or time ran out.
    Abandoned,
}

/// All members, and the choice among them.
///
/// **Load pattern.** A service has three to a few dozen backend servers spread
/// over data centres unevenly, and callers that are spread differently.
/// Backend servers differ in speed, start cold, turn slow, fail a share of
/// their requests, or vanish.
///
/// **Without it.** Even shares overload the slow and the scarce while others
/// idle, and carry every long answer across data centres.
///
/// **How.** A pick takes the least of the expected times to an answer, with
/// the price of the way and the risk of failure counted as time. Members that
/// can't be reached stay out for a while, those that refused for a moment.
#[derive(Debug)]
pub struct FleetView {
    data_centre: String,
    members: Slab<MemberView>,
    keys: HashMap<SocketAddr, MemberKey>,
    services: HashMap<String, Vec<MemberKey>>,
    generation: u32,
    /// Revision of the store up to which this is known.
    revision: Revision,
    /// Members that were dropped lately, with the revision of that.
    dropped: VecDeque<(SocketAddr, Revision)>,
    /// Revision up to which drops are forgotten.
    forgotten: Revision,
}

impl FleetView {
    /// Makes an empty view of a node in `data_centre`.
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self {
            data_centre: data_centre.into(),
            members: Slab::new(),
            keys: HashMap::new(),
            services: HashMap::new(),
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
        let Some(&key) = self.keys.get(&record.hop) else {
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
    pub fn lapse(&mut self, now: Duration, hop: SocketAddr, revision: Revision) -> bool {
        let key = self.keys.get(&hop);
        key.is_some_and(|key| self.members[key.index as usize].lapse(now, revision))
    }

    /// Marks every member that isn't in `present` as lapsed.
    pub fn lapse_others(
        &mut self,
        now: Duration,
        revision: Revision,
        present: impl Fn(&SocketAddr) -> bool,
    ) {
        for (_, member) in &mut self.members {
            if !present(&member.record.hop) {
                member.lapse(now, revision);
            }
        }
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
            self.keys.remove(&member.record.hop);
            self.note_drop(member.record.hop, member.revision);
            records.push(member.record);
        }
        if !records.is_empty() {
            self.index_services();
        }
        records
    }

    /// Drops a member that said farewell.
    pub fn remove(&mut self, hop: SocketAddr, revision: Revision) {
        if let Some(key) = self.keys.remove(&hop) {
            self.members.remove(key.index as usize);
            self.note_drop(hop, revision);
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
    pub fn news_since(&self, since: Revision) -> MemberNews {
        let whole = since == Revision(0) || since < self.forgotten;
        let fresh = |revision: Revision| whole || revision > since;
        let members = self.members.iter().map(|(_, member)| member);
        let members = members.filter(|member| fresh(member.revision));
        let (lapsed, written): (Vec<_>, Vec<_>) = members.partition(|member| member.has_lapsed());
        let dropped = self.dropped.iter().filter(|(_, revision)| fresh(*revision));
        let lapsed = lapsed
            .into_iter()
            .map(|member| (member.record.hop, member.revision));
        let lapsed = lapsed.chain(dropped.copied());
        let written = written.into_iter();
        MemberNews {
            revision: self.revision.0,
            whole,
            written: written
                .map(|member| (member.record.clone(), member.revision.0))
                .collect(),
            lapsed: lapsed.map(|(hop, revision)| (hop, revision.0)).collect(),
        }
    }

    /// Returns the members of this node's data centre, best link first, in an
    /// order that all nodes share.
    pub fn carriers(&self) -> Vec<&MemberRecord> {
        let near = self.members.iter().map(|(_, member)| member);
        let near = near.filter(|member| member.near && !member.has_lapsed());
        let mut records: Vec<&MemberRecord> = near.map(|member| &member.record).collect();
        records.sort_by_key(|record| {
            let place = xxh3_64(record.hop.to_string().as_bytes());
            (Reverse(record.link_mbps), place)
        });
        records
    }

    /// Picks a member for a request.
    ///
    /// Members that refused or failed a moment ago are taken only when no
    /// other is left.
    pub fn pick(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let keys = self.services.get(query.service)?;
        let fresh = |key: &&MemberKey| !query.tried.contains(key);
        let views = keys
            .iter()
            .filter(fresh)
            .filter_map(|&key| Some((key, self.get(key)?)));
        let views = views.filter(|(_, member)| member.takes_work());
        let ranked = views.map(|(key, member)| {
            let noise = 1.0 + NOISE * (rng.random::<f64>() * 2.0 - 1.0);
            let cost = (member.expected_s(now) + far_cost(member, query)) * noise;
            let doubtful = member
                .lapsed_at
                .is_some_and(|at| member.served_at() < Some(at));
            let open = member.is_open(now) && (!query.is_long() || member.has_link(now));
            (!open || doubtful, cost, key)
        });
        let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, _, key)| key)
    }

    /// Whether a member of `service` could take a request now.
    pub fn has_open(&self, now: Duration, query: &PickQuery<'_>) -> bool {
        let keys = self
            .services
            .get(query.service)
            .map_or(&[][..], Vec::as_slice);
        let fresh = keys.iter().filter(|key| !query.tried.contains(key));
        let mut views = fresh.filter_map(|&key| self.get(key));
        views.any(|member| {
            let fits = !query.is_long() || member.has_link(now);
            member.takes_work() && member.is_open(now) && fits
        })
    }

    /// Returns when a long answer may next be asked for, if no member has room
    /// on its link for one now.
    pub fn link_wait(&self, now: Duration, query: &PickQuery<'_>) -> Option<Duration> {
        if !query.is_long() {
            return None;
        }
        let keys = self.services.get(query.service)?;
        let views = keys.iter().filter_map(|&key| self.get(key));
        let waits = views.filter(|member| member.takes_work());
        let wait = waits.map(|member| member.link_wait(now)).min()?;
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Whether another member fails clearly less often than `key`.
    ///
    /// Where all fail alike the cause lies behind them, as when a service
    /// that they call is full; a second try then only adds to it.
    pub fn has_healthier(&self, now: Duration, key: MemberKey, query: &PickQuery<'_>) -> bool {
        let Some(failing) = self.get(key).map(MemberView::failure_rate) else {
            return false;
        };
        let keys = self
            .services
            .get(query.service)
            .map_or(&[][..], Vec::as_slice);
        let others = keys.iter().filter(|other| !query.tried.contains(other));
        let mut views = others.filter_map(|&other| self.get(other));
        views.any(|member| {
            let healthier = member.failure_rate() <= failing * HEALTHIER;
            healthier && member.takes_work() && member.is_open(now)
        })
    }

    /// Returns how long a member may stay silent before it is doubted.
    pub fn patience(&self, now: Duration, key: MemberKey) -> Duration {
        let expected = self.get(key).map_or(0.0, |member| member.expected_s(now));
        PATIENCE_MIN.max(Duration::from_secs_f64(expected * PATIENCE_RUNS))
    }

    /// Whether a member has answered nobody here since `since`.
    pub fn is_silent(&self, key: MemberKey, since: Duration) -> bool {
        self.get(key)
            .is_some_and(|member| member.served_at() < Some(since))
    }

    /// Returns a member, unless it has gone.
    pub fn get(&self, key: MemberKey) -> Option<&MemberView> {
        let member = self.members.get(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    /// Returns the key of the member at `hop`.
    pub fn key_of(&self, hop: SocketAddr) -> Option<MemberKey> {
        self.keys.get(&hop).copied()
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
    pub fn sent(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.sent();
        }
    }

    /// Takes in the load that came with an answer or a refusal.
    pub fn loaded(&mut self, key: MemberKey, report: LoadReport) {
        if let Some(member) = self.get_mut(key) {
            member.loaded(report);
        }
    }

    /// Takes in how a try at `key` went, as soon as that is known.
    pub fn judged(&mut self, now: Duration, key: MemberKey, end: TryEnd) {
        let Some(member) = self.get_mut(key) else {
            return;
        };
        match end {
            TryEnd::Answered { failed } => member.answered(now, failed),
            TryEnd::Refused { retry_after } => member.refused(now, retry_after),
            TryEnd::LinkRefused { retry_after } => member.link_refused(now, retry_after),
            TryEnd::Broke => member.broke(),
            TryEnd::Unreachable | TryEnd::Silent => member.unreachable(now),
            TryEnd::Abandoned => {}
        }
    }

    /// Notes that nothing more comes of a request; each
    /// [`FleetView::sent`] needs one call of this.
    pub fn ended(&mut self, key: MemberKey) {
        if let Some(member) = self.get_mut(key) {
            member.ended();
        }
    }

    fn get_mut(&mut self, key: MemberKey) -> Option<&mut MemberView> {
        let member = self.members.get_mut(key.index as usize)?;
        (member.generation == key.generation).then_some(member)
    }

    fn insert(&mut self, now: Duration, record: MemberRecord, revision: Revision) {
        self.generation += 1;
        let near = record.data_centre == self.data_centre;
        let (hop, service) = (record.hop, record.service.clone());
        let mut member = MemberView::new(now, record, near, self.generation);
        member.revision = revision;
        let index = self.members.insert(member) as u32;
        let generation = self.generation;
        let key = MemberKey { index, generation };
        self.keys.insert(hop, key);
        self.services.entry(service).or_default().push(key);
    }

    fn note_drop(&mut self, hop: SocketAddr, revision: Revision) {
        if self.dropped.len() == DROPS_KEPT
            && let Some((_, forgotten)) = self.dropped.pop_front()
        {
            self.forgotten = self.forgotten.max(forgotten);
        }
        self.dropped.push_back((hop, revision));
    }

    fn index_services(&mut self) {
        self.services.clear();
        for (index, member) in &self.members {
            let generation = member.generation;
            let key = MemberKey {
                index: index as u32,
                generation,
            };
            let service = member.record.service.clone();
            self.services.entry(service).or_default().push(key);
        }
    }
}

fn far_cost(member: &MemberView, query: &PickQuery<'_>) -> f64 {
    if member.near {
        return 0.0;
    }
    let bytes = if query.answer_bytes == 0 {
        BYTES_UNKNOWN
    } else {
        query.answer_bytes
    };
    bytes as f64 / 1_000.0 * FAR_KB_COST_S
}
