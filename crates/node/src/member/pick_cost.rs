//! Cost of sending a request to each member.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{MemberKey, MemberView, PickQuery, service_pool::ServiceAverages};

/// Cost of a kilobyte from another data centre, in seconds of waiting. Traffic between data
/// centres is charged by the byte.
const REMOTE_KB_COST_S: f64 = 0.003;
/// Response size that is assumed while the route's mean size is unknown.
const UNKNOWN_RESPONSE_BYTES: u64 = 5_000;
/// Bytes per megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Largest relative noise that is added to a cost. Without it, nodes with the same
/// information would all pick the same member.
const NOISE_SHARE: f64 = 0.15;
/// Largest number of members that are sampled and compared. A node seldom learns the load
/// of any one member, so the best of all would be the same few members for every node.
/// Sampling by throughput gives each member its share, and comparing a few avoids the
/// worst.
const COMPARED_MAX: usize = 3;

/// A member that the request may be sent to.
pub(super) type Candidate<'a> = (MemberKey, &'a MemberView);

/// Computes what a request that is sent now would cost at each member.
#[derive(Debug, Clone, Copy)]
pub(super) struct PickCost<'a> {
    pub(super) now: Duration,
    pub(super) query: &'a PickQuery<'a>,
    pub(super) averages: ServiceAverages,
    /// Whether a long response is expected and a member in this data centre can provide it.
    pub(super) has_near_member: bool,
}

impl PickCost<'_> {
    /// Whether the member can take the request now.
    ///
    /// A member whose announcement is missing must have responded since it disappeared.
    pub(super) fn is_available(self, member: &MemberView) -> bool {
        let unconfirmed = member
            .lapsed_at
            .is_some_and(|at| member.responded_at() < Some(at));
        let fits = !self.query.expects_long_response() || self.link_wait(member).is_zero();
        !unconfirmed && fits && member.is_available(self.now)
    }

    /// Picks a member from `fresh`, which weren't probed, or `probed`.
    ///
    /// Available members of this data centre in `fresh` that are likely to respond in time
    /// go first. All of `probed` are compared, since their load is known. Members of `fresh`
    /// that aren't available are compared only if there is no other candidate.
    pub(super) fn pick(
        self,
        fresh: Vec<Candidate<'_>>,
        probed: Vec<Candidate<'_>>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let (available, unavailable): (Vec<_>, Vec<_>) = fresh
            .into_iter()
            .partition(|(_, member)| self.is_available(member));
        if let Some(near) = self.pick_near(&available, rng) {
            return Some(near);
        }
        let mut compared = self.sample(available, rng);
        compared.extend(probed);
        if compared.is_empty() {
            compared = unavailable;
        }
        self.cheapest(compared, rng)
    }

    /// Returns the time until long responses may be requested from a member again.
    pub(super) fn link_wait(self, member: &MemberView) -> Duration {
        member.link_wait(self.now, self.has_near_member)
    }

    /// Samples the members to be compared, weighted by their throughput.
    pub(super) fn sample<'b>(
        self,
        mut available: Vec<Candidate<'b>>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'b>> {
        if available.len() <= COMPARED_MAX {
            return available;
        }
        // Of exponentially distributed times, each is the least with a probability in
        // proportion to its rate.
        available.sort_by_cached_key(|(_, member)| {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            let rate = member.throughput(self.now, self.query.route_hash, self.averages);
            Duration::from_secs_f64(-uniform.ln() / rate.max(f64::EPSILON))
        });
        available.truncate(COMPARED_MAX);
        available
    }

    /// Picks a member of this data centre, if one is likely to respond in time.
    ///
    /// The member is expected to run the request in a free slot.
    ///
    /// Traffic from another data centre is charged by the byte. With dozens of members most
    /// of a sample are in other data centres, and small differences in load would send the
    /// request there. A queue, a slow run or failures in this data centre let the request
    /// go to another one.
    fn pick_near(self, available: &[Candidate<'_>], rng: &mut impl Rng) -> Option<MemberKey> {
        let near = available
            .iter()
            .copied()
            .filter(|(_, member)| member.is_near());
        let compared = self.sample(near.collect(), rng);
        let key = self.cheapest(compared.clone(), rng)?;
        let (_, member) = compared.into_iter().find(|(other, _)| *other == key)?;
        let estimate = member.estimate(self.now, self.query.route_hash, self.averages);
        estimate.is_prompt(self.query.target_latency).then_some(key)
    }

    /// Returns the member with the lowest cost, or none of an empty list.
    pub(super) fn cheapest(
        self,
        compared: Vec<Candidate<'_>>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let costs = compared.into_iter().map(|(key, member)| {
            let noise = 1.0 + NOISE_SHARE * (rng.random::<f64>() * 2.0 - 1.0);
            let cost = self.cost_s(member) + self.distance_cost_s(member);
            (cost * noise, key)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, key)| key)
    }

    /// Returns the expected response time in seconds.
    pub(super) fn expected_s(self, member: &MemberView) -> f64 {
        let ready_s = member
            .estimate(self.now, self.query.route_hash, self.averages)
            .response_ready_s();
        if !self.uses_link(member) {
            return ready_s;
        }
        ready_s.max(member.link_backlog_s(self.now)) + self.transfer_s(member)
    }

    /// Returns the cost of the request without that of the distance, in seconds of waiting.
    fn cost_s(self, member: &MemberView) -> f64 {
        let estimate = member.estimate(self.now, self.query.route_hash, self.averages);
        let cost = estimate.cost_s(self.query.target_latency);
        if !self.uses_link(member) {
            return cost;
        }
        cost.max(member.link_backlog_s(self.now)) + self.transfer_s(member)
    }

    /// Whether a long response uses the link of the member's instance. A response from this
    /// node's own instance doesn't leave it.
    fn uses_link(self, member: &MemberView) -> bool {
        self.query.expects_long_response() && !member.is_local()
    }

    /// Returns the seconds that the link of the member's instance needs for the response.
    fn transfer_s(self, member: &MemberView) -> f64 {
        let rate = f64::from(member.record.link_mbps.max(1)) * BYTES_PER_MBIT;
        self.query.response_bytes as f64 / rate
    }

    /// Returns the cost of traffic between data centres, in seconds of waiting.
    fn distance_cost_s(self, member: &MemberView) -> f64 {
        if member.is_near() {
            return 0.0;
        }
        let bytes = if self.query.response_bytes == 0 {
            UNKNOWN_RESPONSE_BYTES
        } else {
            self.query.response_bytes
        };
        bytes as f64 / 1_000.0 * REMOTE_KB_COST_S
    }
}
