//! Division of a node's requests between two versions of a service.

use std::{collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::member::{MemberKey, MemberRecord};

/// Share of the requests for the target version that go to any of its backend servers, and not
/// to the first ones. Each of them is seen working before it has to carry its full load.
const SPREAD_SHARE: f64 = 0.2;
/// Smallest number of backend servers on trial.
const FIRST_TARGETS_MIN: usize = 2;
/// Failures of the target version in this node's own requests, less its successes, after which
/// the node stops sending to it. A success counts a quarter of a failure.
const OWN_FAILURES_MAX: f64 = 3.0;
/// Weight of a success against a failure.
const SUCCESS_WEIGHT: f64 = 0.25;
/// Time for which a node that has seen failures of its own sends nothing to the target version.
/// By then the node that decides about the rollout has the evidence of all nodes.
const OWN_STOP_TIME: Duration = Duration::from_secs(3);

/// Version to which a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitDecision {
    /// The request goes to the current version.
    Current,
    /// The request goes to one of the first backend servers of the target version.
    FirstTargets,
    /// The request goes to any backend server of the target version.
    AnyTarget,
}

/// Divides a node's requests to one service between the current and the target version.
///
/// The target version gets exactly its share of what this node sends, route by route, but for
/// one request. Shares of nodes add up, so the target version's share of the whole fleet's
/// requests holds without messages between nodes. The first request of a route that goes to the
/// target version is a random one, so that nodes that start, or restart, don't add to the share.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    /// Requests owed to the target version by route hash, from 0 to 1.
    owed: HashMap<u64, f64>,
    /// Requests owed to any backend server of the target version, from 0 to 1.
    spread_owed: f64,
    own_failures: f64,
    stopped_until: Duration,
}

impl TrafficSplit {
    /// Decides where a request of a route goes. `uniform` is a random number from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::rollout::{SplitDecision, TrafficSplit};
    ///
    /// let mut split = TrafficSplit::default();
    /// let decisions = (0..100).map(|_| split.decide(Duration::ZERO, 0.1, 7, 0.5));
    /// let targets = decisions.filter(|decision| *decision != SplitDecision::Current);
    /// assert_eq!(targets.count(), 10);
    /// ```
    pub fn decide(
        &mut self,
        now: Duration,
        share: f64,
        route_hash: u64,
        uniform: f64,
    ) -> SplitDecision {
        if now < self.stopped_until {
            return SplitDecision::Current;
        }
        let owed = self.owed.entry(route_hash).or_insert(uniform);
        *owed += share;
        if *owed < 1.0 {
            return SplitDecision::Current;
        }
        *owed -= 1.0;
        self.spread_owed += SPREAD_SHARE;
        if self.spread_owed < 1.0 {
            return SplitDecision::FirstTargets;
        }
        self.spread_owed -= 1.0;
        SplitDecision::AnyTarget
    }

    /// Records the outcome of one of this node's requests at the target version.
    ///
    /// Returns whether this node stops sending to it because of that.
    pub fn record_target(&mut self, now: Duration, failed: bool) -> bool {
        let change = if failed { 1.0 } else { -SUCCESS_WEIGHT };
        self.own_failures = (self.own_failures + change).max(0.0);
        let stops = self.own_failures >= OWN_FAILURES_MAX;
        if stops {
            self.own_failures = 0.0;
            self.stopped_until = now + OWN_STOP_TIME;
        }
        stops
    }
}

/// Returns the first of the target version's members, which get most of its requests.
///
/// Their number is in proportion to `share`, so that each is as busy as one of the current
/// version, and two at least. They are the same for all nodes: those from position `first` on, in
/// an order by hash.
pub fn first_targets<'a>(
    members: impl Iterator<Item = (MemberKey, &'a MemberRecord)>,
    share: f64,
    first: u32,
) -> Vec<MemberKey> {
    let mut ordered: Vec<(u64, MemberKey)> = members
        .map(|(key, record)| (xxh3_64(record.peer_addr.to_string().as_bytes()), key))
        .collect();
    ordered.sort_unstable_by_key(|(hash, _)| *hash);
    let count = first_target_count(ordered.len(), share);
    let skipped = first as usize % ordered.len().max(1);
    ordered.rotate_left(skipped);
    ordered.truncate(count);
    ordered.into_iter().map(|(_, key)| key).collect()
}

/// Returns the number of the target version's members that get most of its requests.
pub fn first_target_count(members: usize, share: f64) -> usize {
    let in_proportion = share * (1.0 - SPREAD_SHARE) * members as f64;
    (in_proportion as usize).max(FIRST_TARGETS_MIN)
}
