//! Selection of a member for a request.

use std::time::Duration;

use rand::Rng;

use super::{
    FleetView, MemberKey, MemberView, MovingMean, PickQuery,
    pick_cost::{Candidate, PickCost},
    service_pool::{ServiceAverages, ServicePool},
};

/// Mean requests per slot of a service from which on its members aren't probed. At 1.0, all
/// slots are in use and the queues are empty on average.
const PROBE_REQUESTS_PER_SLOT_MAX: f64 = 1.0;
/// Silence timeout as a multiple of the expected response time.
const SILENCE_TIMEOUT_FACTOR: f64 = 3.0;
/// Shortest silence timeout. A machine that has used up its CPU quota is paused for a tenth
/// of a second.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_millis(300);
/// Ratio of failure rates up to which a service counts as healthier than a member: the mean
/// failure rate of the service to that of the member.
const HEALTHIER_RATIO_MAX: f64 = 0.5;

/// Selection of a member for a request.
///
/// Members differ in speed, are slow after a start, become slow, fail a share of their
/// requests, or disappear, and are spread unevenly over data centres. A node learns a
/// member's load only with its own requests, so most of what it knows is seconds old. The
/// best of all by outdated reports would be the same few members for every node, and equal
/// shares would overload the slow members.
///
/// A few members are sampled by throughput, and the one with the lowest cost is picked: the
/// expected waiting time, plus traffic between data centres and the risk of failure
/// converted to time. Members of this data centre go first while one of them is likely to
/// respond from a free slot. The reported load of a member decays towards the mean of its
/// service. The first try only probes for a free slot and goes to another member if there
/// is none; the last try waits in the shortest queue. Members that couldn't be reached are
/// ejected for up to seconds, those that refused for a fraction of a second.
impl FleetView {
    /// Picks a member that was neither tried nor probed for the request.
    ///
    /// Unavailable members are picked only if no other is left: those that are ejected or
    /// recently refused, whose link is full, or that haven't responded since their
    /// announcement lapsed.
    pub fn pick(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let is_unprobed = |key: &MemberKey| !query.probed.contains(key);
        let candidates = self
            .candidates(pool, query)
            .filter(|(key, _)| is_unprobed(key));
        cost.pick(candidates.collect(), Vec::new(), rng)
    }

    /// Picks a member of this data centre for a request with a long response.
    ///
    /// The request may wait in the member's queue. An available member on this node's
    /// instance is always compared, since its response uses no link.
    ///
    /// Long responses are expensive to transfer between data centres. A member's inbound
    /// proxy knows best whether its response would be in time, and refuses at once if not.
    /// Those in this data centre are therefore asked first, unless they refused recently.
    pub fn pick_in_data_centre(
        &self,
        now: Duration,
        query: &PickQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        if !query.expects_long_response() {
            return None;
        }
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let near = self
            .candidates(pool, query)
            .filter(|(key, member)| member.is_near() && !query.probed.contains(key));
        let available = near.filter(|(_, member)| cost.is_available(member));
        let (local, others): (Vec<_>, Vec<_>) =
            available.partition(|(_, member)| member.is_local());
        let mut compared = cost.sample(others, rng);
        compared.extend(local);
        cost.cheapest(compared, rng)
    }

    /// Picks a member in whose queue the request may wait.
    ///
    /// Probed members are candidates, too: their load has just been reported.
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

    /// Whether the next try should only probe for a free slot.
    ///
    /// A probe makes sense if slots are usually free and another member is left to be asked
    /// afterwards. In a shortage every probe would be refused, and the extra calls between
    /// nodes would use up the CPU of small instances.
    pub fn may_probe(&self, query: &PickQuery<'_>) -> bool {
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        if pool.mean_requests_per_slot() >= PROBE_REQUESTS_PER_SLOT_MAX {
            return false;
        }
        let another_member = self.candidates(pool, query).nth(query.probed.len() + 1);
        another_member.is_some()
    }

    /// Whether a member of the service is available for the request now.
    pub fn has_available(&self, now: Duration, query: &PickQuery<'_>) -> bool {
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        let cost = self.cost(now, pool, query);
        let mut candidates = self.candidates(pool, query);
        candidates.any(|(_, member)| cost.is_available(member))
    }

    /// Returns the time until a long response may be requested, if all links are full.
    ///
    /// Members are ejected that can't be reached, or whose backend server accepts no
    /// connections or breaks its runs. They don't count as members with a free link, as
    /// they would attract every request that the others refuse. If there are only ejected
    /// members, the result is none, and they are asked as a last resort. It is also none if
    /// a member on this node's instance, which needs no link, is available.
    pub fn link_wait(&self, now: Duration, query: &PickQuery<'_>) -> Option<Duration> {
        if !query.expects_long_response() {
            return None;
        }
        let pool = self.services.get(query.service)?;
        let cost = self.cost(now, pool, query);
        let mut candidates = self.candidates(pool, query);
        if candidates.any(|(_, member)| member.is_local() && cost.is_available(member)) {
            return None;
        }
        let views = pool.keys.iter().filter_map(|&key| self.get(key));
        let waits = views.filter(|member| member.takes_requests() && !member.is_ejected(now));
        let waits = waits.filter(|member| !member.is_local());
        let wait = waits.map(|member| cost.link_wait(member)).min()?;
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Returns the time until a request may be sent, if all members refused because of their limits.
    ///
    /// Members that are ejected don't count as members with room. If there are only those, the
    /// result is none, and they are asked as a last resort.
    pub fn limit_wait(&self, now: Duration, query: &PickQuery<'_>) -> Option<Duration> {
        let pool = self.services.get(query.service)?;
        let views = pool
            .keys
            .iter()
            .filter_map(|&key| Some((key, self.get(key)?)));
        let usable = views.filter(|(key, member)| {
            member.takes_requests()
                && !member.is_ejected(now)
                && query.versions.admits(*key, &member.record)
        });
        let wait = usable.map(|(_, member)| member.limit_pause(now)).min()?;
        (wait > Duration::ZERO).then_some(wait)
    }

    /// Whether the service has no other member than `key` that the request could be sent to.
    ///
    /// Members that were tried count as others: the caller may meet them when it sends the request
    /// again. Ejected members don't.
    pub fn is_only_member(&self, now: Duration, key: MemberKey, query: &PickQuery<'_>) -> bool {
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        let others = pool.keys.iter().copied().filter(|&other| other != key);
        let mut views = others.filter_map(|other| Some((other, self.get(other)?)));
        !views.any(|(other, member)| {
            member.takes_requests()
                && !member.is_ejected(now)
                && query.versions.admits(other, &member.record)
        })
    }

    /// Whether `key` fails much more often than its service and another member is available.
    ///
    /// If all members fail equally often, the cause lies elsewhere, for example in a full
    /// service that they call, and a second try only adds load. The comparison is with the
    /// mean of the service and not with the best other member: among dozens of members with
    /// a few responses each, one always looks better by chance.
    pub fn has_healthier(&self, now: Duration, key: MemberKey, query: &PickQuery<'_>) -> bool {
        let Some(failing) = self.get(key).map(MemberView::failure_rate) else {
            return false;
        };
        let Some(pool) = self.services.get(query.service) else {
            return false;
        };
        let unusual = pool.mean_failure_rate() <= failing * HEALTHIER_RATIO_MAX;
        let mut candidates = self.candidates(pool, query);
        unusual && candidates.any(|(_, member)| member.is_available(now))
    }

    /// Returns the time after which a member that hasn't responded counts as silent.
    ///
    /// While no member has reported the run time of the route, as after a start, that is at
    /// least the target latency. With an assumed run time, every slower member would count
    /// as silent, and each request would go to two members when all are slow after a start.
    pub fn silence_timeout(
        &self,
        now: Duration,
        key: MemberKey,
        query: &PickQuery<'_>,
    ) -> Duration {
        let Some(pool) = self.services.get(query.service) else {
            return SILENCE_TIMEOUT_MIN;
        };
        let cost = self.cost(now, pool, query);
        if cost.averages.route_run_time.is_none() {
            return SILENCE_TIMEOUT_MIN.max(query.target_latency);
        }
        let expected = self.get(key).map_or(0.0, |member| cost.expected_s(member));
        SILENCE_TIMEOUT_MIN.max(Duration::from_secs_f64(expected * SILENCE_TIMEOUT_FACTOR))
    }

    /// Whether a member has sent this node no response or refusal since `since`.
    pub fn is_silent(&self, key: MemberKey, since: Duration) -> bool {
        self.get(key)
            .is_some_and(|member| member.responded_at() < Some(since))
    }

    fn cost<'a>(
        &self,
        now: Duration,
        pool: &ServicePool,
        query: &'a PickQuery<'a>,
    ) -> PickCost<'a> {
        let run = self
            .route_run_times
            .get(&query.route_hash)
            .and_then(MovingMean::get);
        let averages = ServiceAverages {
            route_run_time: run.map(Duration::from_secs_f64),
            requests_per_slot: pool.mean_requests_per_slot(),
        };
        PickCost {
            now,
            query,
            averages,
            has_near_member: query.expects_long_response() && self.has_near_member(now, pool),
        }
    }

    /// Whether a member in this data centre takes requests and isn't ejected.
    fn has_near_member(&self, now: Duration, pool: &ServicePool) -> bool {
        let mut members = pool.keys.iter().filter_map(|&key| self.get(key));
        members.any(|member| member.is_near() && member.takes_requests() && !member.is_ejected(now))
    }

    /// Yields the members that take requests and weren't tried for this one.
    fn candidates<'a>(
        &'a self,
        pool: &'a ServicePool,
        query: &'a PickQuery<'_>,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let keys = pool.keys.iter().copied();
        let untried = keys.filter(|key| !query.tried.contains(key));
        let views = untried.filter_map(|key| Some((key, self.get(key)?)));
        let ready = views.filter(|(_, member)| member.takes_requests());
        ready.filter(|&(key, member)| query.versions.admits(key, &member.record))
    }
}
