//! What a request would cost at each member.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{MemberKey, MemberView, PickQuery, service_pool::UsualRun};

/// Cost of a kilobyte from another data centre, as waiting time: links between data
/// centres are paid by the byte.
const FAR_KB_COST_S: f64 = 0.003;
/// Bytes assumed of an answer of unknown size.
const BYTES_UNKNOWN: u64 = 5_000;
/// Bytes a second in a megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Spread of the noise put on each cost: nodes that know the same must not all
/// take the same member.
const NOISE: f64 = 0.15;
/// Members that are compared. Nodes hear of each member seldom, so the best of all they
/// know would be the same few for every one of them. Drawn by what they can carry, all
/// get their share, and comparing a few leaves out the worst.
const COMPARED: usize = 3;

/// A member that may be asked.
pub(super) type Candidate<'a> = (MemberKey, &'a MemberView);

/// What a request sent now would cost at each member.
#[derive(Debug, Clone, Copy)]
pub(super) struct PickCost<'a> {
    pub(super) now: Duration,
    pub(super) query: &'a PickQuery<'a>,
    pub(super) usual: UsualRun,
    /// Whether a long answer is requested and a member in this data centre can be asked.
    pub(super) has_near_member: bool,
}

impl PickCost<'_> {
    /// Whether nothing speaks against giving a member the request now.
    pub(super) fn is_open(self, member: &MemberView) -> bool {
        let doubtful = member
            .lapsed_at
            .is_some_and(|at| member.served_at() < Some(at));
        let fits = !self.query.is_long() || self.link_wait(member).is_zero();
        !doubtful && fits && member.is_open(self.now)
    }

    /// Picks a member from `fresh` or `probed`, preferring open members of this data centre
    /// in `fresh` that are likely to answer in time.
    ///
    /// All of `probed` are compared, since their load is known. Members of `fresh` that
    /// aren't open are compared only when there is no other candidate.
    pub(super) fn pick(
        self,
        fresh: Vec<Candidate<'_>>,
        probed: Vec<Candidate<'_>>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let (open, closed): (Vec<_>, Vec<_>) = fresh
            .into_iter()
            .partition(|(_, member)| self.is_open(member));
        if let Some(home) = self.home(&open, rng) {
            return Some(home);
        }
        let mut compared = self.draw(open, rng);
        compared.extend(probed);
        if compared.is_empty() {
            compared = closed;
        }
        self.cheapest(compared, rng)
    }

    /// Time until long answers may be requested from a member again.
    pub(super) fn link_wait(self, member: &MemberView) -> Duration {
        member.link_wait(self.now, self.has_near_member)
    }

    /// Draws the members to be compared, each by the requests that it carries in a
    /// given time.
    pub(super) fn draw<'b>(
        self,
        mut open: Vec<Candidate<'b>>,
        rng: &mut impl Rng,
    ) -> Vec<Candidate<'b>> {
        if open.len() <= COMPARED {
            return open;
        }
        // The least of exponential times with these rates is drawn in proportion
        // to the rates.
        open.sort_by_cached_key(|(_, member)| {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            let rate = f64::from(member.record.slots.max(1))
                / member.run_s(self.now, self.query.route_hash, self.usual);
            Duration::from_secs_f64(-uniform.ln() / rate.max(f64::EPSILON))
        });
        open.truncate(COMPARED);
        open
    }

    /// Picks a member of this data centre that is likely to answer from a free slot in
    /// time, if there is one.
    ///
    /// Answers from another data centre are paid for by the byte. With dozens of members
    /// most of those drawn are far ones, and small differences in load would send the
    /// request there. A queue, a slow run or failures at home let it spill over.
    fn home(self, open: &[Candidate<'_>], rng: &mut impl Rng) -> Option<MemberKey> {
        let near = open.iter().copied().filter(|(_, member)| member.is_near());
        let compared = self.draw(near.collect(), rng);
        let key = self.cheapest(compared.clone(), rng)?;
        let (_, member) = compared.into_iter().find(|(other, _)| *other == key)?;
        let outlook = member.outlook(self.now, self.query.route_hash, self.usual);
        outlook.is_prompt(self.query.target).then_some(key)
    }

    /// Returns the member that costs least.
    pub(super) fn cheapest(
        self,
        compared: Vec<Candidate<'_>>,
        rng: &mut impl Rng,
    ) -> Option<MemberKey> {
        let costs = compared.into_iter().map(|(key, member)| {
            let noise = 1.0 + NOISE * (rng.random::<f64>() * 2.0 - 1.0);
            let cost = self.cost_s(member) + self.far_cost(member);
            (cost * noise, key)
        });
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, key)| key)
    }

    /// Seconds after which a request sent now would be answered.
    pub(super) fn expected_s(self, member: &MemberView) -> f64 {
        let made = member
            .outlook(self.now, self.query.route_hash, self.usual)
            .made_s();
        if !self.uses_link(member) {
            return made;
        }
        made.max(member.link_s(self.now)) + self.carried_s(member)
    }

    /// What a request sent now would cost, in seconds of waiting.
    fn cost_s(self, member: &MemberView) -> f64 {
        let outlook = member.outlook(self.now, self.query.route_hash, self.usual);
        let cost = outlook.cost_s(self.query.target);
        if !self.uses_link(member) {
            return cost;
        }
        cost.max(member.link_s(self.now)) + self.carried_s(member)
    }

    /// Whether a long answer goes over the member's link. An answer made on this instance
    /// doesn't leave it.
    fn uses_link(self, member: &MemberView) -> bool {
        self.query.is_long() && !member.is_local()
    }

    /// Seconds for which its instance's link carries a long answer.
    fn carried_s(self, member: &MemberView) -> f64 {
        let rate = f64::from(member.record.link_mbps.max(1)) * BYTES_PER_MBIT;
        self.query.response_bytes as f64 / rate
    }

    /// Price of the way to a member, in seconds of waiting.
    fn far_cost(self, member: &MemberView) -> f64 {
        if member.is_near() {
            return 0.0;
        }
        let bytes = if self.query.response_bytes == 0 {
            BYTES_UNKNOWN
        } else {
            self.query.response_bytes
        };
        bytes as f64 / 1_000.0 * FAR_KB_COST_S
    }
}
