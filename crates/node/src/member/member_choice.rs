//! The choice among members.

use std::time::Duration;

use rand::Rng;

use super::{
    FleetView, MemberKey, MemberView, MovingMean, PickQuery,
    pick_cost::{Candidate, PickCost},
    service_pool::{ServicePool, UsualRun},
};

/// Requests held for each slot from which on no slot is expected to be free: all
/// slots taken, and nobody waiting.
const PROBE_HELD: f64 = 1.0;
/// Expected times to an answer for which a member may stay silent.
const PATIENCE_RUNS: f64 = 3.0;
/// Least time for which a member may stay silent: a machine that has used up
/// its share of the processor stands still for a tenth of a second.
const PATIENCE_MIN: Duration = Duration::from_millis(300);
/// Part of a member's failure rate below which the usual rate must lie for others to
/// count as healthier.
const HEALTHIER: f64 = 0.5;

/// Members differ in speed, start cold, turn slow, fail a share of their requests, or
/// vanish, and are spread over data centres unevenly. A node hears of each only with its
/// own requests, so what it knows of most is seconds old. The best of all by old news
/// would be the same few for every node, and even shares overload the slow ones.
///
/// A few members are drawn by what they carry, and the one with the least expected time
/// to an answer is taken, the price of the way and the risk of failure counted as time.
/// Members of this data centre go first while one of them is likely to answer from a free
/// slot. News of a member's load fade into what is usual at its service. A first try only
/// probes for a free slot and goes elsewhere when there is none; the last one queues
/// where least wait. Members that can't be reached stay out for a while, those that
/// refused for a moment.
impl FleetView {
    /// Picks a member for a request, none of those that were tried or probed.
    ///
    /// Members that refused or failed a moment ago are taken only when no
    /// other is left.
    pub fn pick(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let fresh = |key: &MemberKey| !query.probed.contains(key);
        let candidates = self.candidates(pool, query).filter(|(key, _)| fresh(key));
        cost.pick(candidates.collect(), Vec::new(), rng)
    }

    /// Picks a member of this data centre for a long answer, in whose queue it may wait.
    ///
    /// An open one on this node's instance is always compared: its answer uses no link.
    ///
    /// Long answers are dear to carry between data centres. The inbound proxy at home knows best
    /// whether an answer of it would be in time, and refuses at once when it wouldn't, so
    /// it is asked first, unless it has refused a moment ago.
    pub fn pick_in_data_centre(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        if !query.is_long() {
            return None;
        }
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let near = self
            .candidates(pool, query)
            .filter(|(key, member)| member.is_near() && !query.probed.contains(key));
        let home = near.filter(|(_, member)| cost.is_open(member));
        let (local, others): (Vec<_>, Vec<_>) = home.partition(|(_, member)| member.is_local());
        let mut compared = cost.draw(others, rng);
        compared.extend(local);
        cost.cheapest(compared, rng)
    }

    /// Picks a member in whose queue to wait, also of those that were probed:
    /// their load has just been heard.
    pub fn pick_queue(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let (known, others): (Vec<_>, Vec<_>) = self
            .candidates(pool, query)
            .partition(|(key, _)| query.probed.contains(key));
        cost.pick(others, known, rng)
    }

    /// Whether a try may only probe for a free slot: slots are usually free, and another
    /// member is left to be asked if there is none here.
    ///
    /// In a shortage each probe is turned away, and the calls between nodes that they
    /// cost would bind the processor of small instances.
    pub fn may_probe(&self, query: &PickQuery<'_>) -> bool {
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        if pool.usual_held() >= PROBE_HELD {
            return false;
        }
        let other = self.candidates(pool, query).nth(query.probed.len() + 1);
        other.is_some()
    }

    /// Whether a member of the service could take a request now.
    pub fn has_available(&self, now: Duration, query: &PickQuery<'_>) -> bool {
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        let cost = self.cost(now, pool, query);
        let mut candidates = self.candidates(pool, query);
        candidates.any(|(_, member)| cost.is_open(member))
    }

    /// Returns when a long answer may next be asked for, if no member has room
    /// on its link for one now.
    ///
    /// One that can't be reached, or whose backend server breaks its runs, has no room
    /// either: it would draw all that the others refuse. Where there are only such, they
    /// are asked as a last resort. One on this node's instance uses no link.
    pub fn link_wait(&self, now: Duration, query: &PickQuery<'_>) -> Option<Duration> {
        if !query.is_long() {
            return None;
        }
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let mut candidates = self.candidates(pool, query);
        if candidates.any(|(_, member)| member.is_local() && cost.is_open(member)) {
            return None;
        }
        let views = pool.keys.iter().filter_map(|&key| self.get(key));
        let waits = views.filter(|member| member.takes_work() && !member.is_out(now));
        let waits = waits.filter(|member| !member.is_local());
        let wait = waits.map(|member| cost.link_wait(member)).min()?;
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Whether `key` fails clearly more often than is usual at its service, and another
    /// member could be asked.
    ///
    /// Where all fail alike the cause lies behind them, as when a service that they call
    /// is full; a second try then only adds to it. It is compared with what is usual and
    /// not with the best other member: of dozens, each seen a few times, one always looks
    /// better by chance.
    pub fn has_healthier(&self, now: Duration, key: MemberKey, query: &PickQuery<'_>) -> bool {
        let Some(failing) = self.get(key).map(MemberView::failure_rate) else {
            return false;
        };
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        let unusual = pool.usual_failures() <= failing * HEALTHIER;
        let mut candidates = self.candidates(pool, query);
        unusual && candidates.any(|(_, member)| member.is_open(now))
    }

    /// Returns how long a member may stay silent before it is doubted.
    ///
    /// While no member has told how long such runs take, as after a start, that is the
    /// target time: an assumed one would doubt every member that is slower, and send each
    /// request to two of them when all are cold.
    pub fn silence_timeout(
        &self,
        now: Duration,
        key: MemberKey,
        query: &PickQuery<'_>,
    ) -> Duration {
        let Some(pool) = self.services.get(query.service) else {
            return PATIENCE_MIN;
        };
        let cost = self.cost(now, pool, query);
        if cost.usual.run.is_none() {
            return PATIENCE_MIN.max(query.target);
        }
        let expected = self.get(key).map_or(0.0, |member| cost.expected_s(member));
        PATIENCE_MIN.max(Duration::from_secs_f64(expected * PATIENCE_RUNS))
    }

    /// Whether a member has answered nobody here since `since`.
    pub fn is_silent(&self, key: MemberKey, since: Duration) -> bool {
        self.get(key)
            .is_some_and(|member| member.served_at() < Some(since))
    }

    fn cost<'a>(
        &self,
        now: Duration,
        pool: &ServicePool,
        query: &'a PickQuery<'a>,
    ) -> PickCost<'a> {
        let run = self
            .class_runs
            .get(&query.route_hash)
            .and_then(MovingMean::get);
        let usual = UsualRun {
            run: run.map(Duration::from_secs_f64),
            held: pool.usual_held(),
        };
        PickCost {
            now,
            query,
            usual,
            has_near_member: query.is_long() && self.has_near_member(now, pool),
        }
    }

    /// Whether a member in this data centre takes work and isn't out.
    fn has_near_member(&self, now: Duration, pool: &ServicePool) -> bool {
        let mut members = pool.keys.iter().filter_map(|&key| self.get(key));
        members.any(|member| member.is_near() && member.takes_work() && !member.is_out(now))
    }

    /// Yields the members that take work and weren't tried.
    fn candidates<'a>(
        &'a self,
        pool: &'a ServicePool,
        query: &'a PickQuery<'_>,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let keys = pool.keys.iter().copied();
        let untried = keys.filter(|key| !query.tried.contains(key));
        let views = untried.filter_map(|key| Some((key, self.get(key)?)));
        views.filter(|(_, member)| member.takes_work())
    }
}
