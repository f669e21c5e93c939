//! When a node that came up empty may take a configuration.

use std::{collections::BTreeMap, time::Duration};

use geranium_model::{InstanceName, PresetVersion};

/// Peers whose highest version counts while the platform is away.
///
/// The peers asked first are the node's own links, which are the same after a
/// restart: the former process pushed to each of them what it had. Three must
/// all have missed that push for the node to move back.
pub const PEER_VOTES: usize = 3;
/// Wait for a peer's version besides the platform's answer, which may be stale.
/// A node that knows no peer waits as well: its seeds may be about to answer.
const PEER_WAIT: Duration = Duration::from_millis(1_500);
/// Wait for peers to appear before their number is taken as final.
const SETTLE_WAIT: Duration = Duration::from_secs(2);
/// Time without an answer after which the platform counts as away.
const PLATFORM_WAIT: Duration = Duration::from_secs(5);

/// Votes of the platform and of peers on the version in force.
///
/// Failure guarded against: a node that restarts, takes an older version from
/// a stale read or a peer that lags, and sends requests by a preset it had
/// already left. It shows as a version that falls at one instance. The gate
/// holds back the first configuration until the platform and a peer, or
/// several peers, have been heard, and then lets only the highest pass.
#[derive(Debug, Default)]
pub struct StartGate {
    votes: BTreeMap<InstanceName, Option<PresetVersion>>,
    first_vote: Option<Duration>,
    started: Duration,
    platform: Option<(Duration, PresetVersion)>,
    platform_failed: bool,
}

impl StartGate {
    /// Makes the gate of a node that starts now.
    pub fn new(now: Duration) -> Self {
        Self {
            started: now,
            ..Self::default()
        }
    }

    /// Notes the version that a peer has in force.
    pub fn peer_vote(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        version: Option<PresetVersion>,
    ) {
        self.first_vote.get_or_insert(now);
        let vote = self.votes.entry(peer.clone()).or_default();
        *vote = (*vote).max(version);
    }

    /// Notes the platform's answer.
    pub fn platform_vote(&mut self, now: Duration, version: PresetVersion) {
        let (at, former) = self.platform.unwrap_or((now, PresetVersion::NONE));
        self.platform = Some((at, former.max(version)));
    }

    /// Notes that the platform's version can't be used.
    pub const fn discard_platform_version(&mut self) {
        if let Some((_, version)) = &mut self.platform {
            *version = PresetVersion::NONE;
        }
    }

    /// Notes that the platform gave no answer.
    pub const fn platform_failed(&mut self) {
        self.platform_failed = true;
    }

    /// Returns the highest version heard of.
    pub fn highest(&self) -> PresetVersion {
        let peers = self.votes.values().flatten().copied();
        let platform = self.platform.map(|(_, version)| version);
        peers.chain(platform).max().unwrap_or_default()
    }

    /// Reports whether [`StartGate::highest`] may be taken, with `others` other
    /// members known.
    pub fn is_open(&self, now: Duration, others: usize) -> bool {
        let votes = self.votes.values().flatten().count();
        if let Some((answered_at, _)) = self.platform {
            return votes > 0 || now.saturating_sub(answered_at) >= PEER_WAIT;
        }
        let empty = self.votes.len() - votes;
        let needed = others.saturating_sub(empty).clamp(1, PEER_VOTES);
        let away = self.platform_failed || now.saturating_sub(self.started) >= PLATFORM_WAIT;
        let settled = self
            .first_vote
            .is_some_and(|first| now.saturating_sub(first) >= SETTLE_WAIT);
        away && settled && votes >= needed
    }
}
