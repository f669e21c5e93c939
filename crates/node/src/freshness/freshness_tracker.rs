//! Decision for how long requests with a key may run.

use std::time::Duration;

use super::{ConfigProof, FreshnessChange, KeyValidity, ProofSource};
use crate::{
    config::ConfigVersion,
    store::{Revision, StoreEra},
};

/// Part of the revocation time that is left for a request to get from its check to its run.
const RUN_MARGIN: Duration = Duration::from_millis(500);
/// Age of a proof, as a share of the revocation time, from which on a node confirms its
/// configuration itself.
const OWN_CHECK_SHARE: f64 = 0.6;
/// Share of the revocation time over which the nodes that lose one relay spread their own checks.
const OWN_CHECK_SPREAD: f64 = 0.15;
/// Time between a node's own checks.
const OWN_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait of a watch for the configuration.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(1);
/// Shortest wait of such a watch, unless the proof is getting old.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(100);
/// Wait of a watch that only confirms the configuration.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// Age of a proof, as a share of the revocation time, at which the next one should arrive.
const RENEWAL_SHARE: f64 = 0.4;
/// Age of a proof, as a share of the revocation time, from which on a read resolves a doubt.
const READ_SHARE: f64 = 0.3;
/// Most newer versions of other nodes that are remembered.
const HEARD_MAX: usize = 16;

/// Decides for how long requests with a key may run.
///
/// All times are of this node's boot clock. A request may begin while the last proof is younger
/// than the revocation time, less a margin for the way from the check to the run. A confirmation
/// counts only if it is of the version that the node holds and of the current era. A store that
/// was restored from an older copy shows an older version than nodes hold, and so confirms nothing.
#[derive(Debug)]
pub struct FreshnessTracker {
    revoke_time: Duration,
    held: ConfigVersion,
    era: StoreEra,
    /// Newer versions that other nodes hold, with the times at which this node learned of them.
    heard: Vec<(ConfigVersion, Duration)>,
    proof: Option<(ConfigProof, ProofSource)>,
    /// Time of the last proof, also of one of an ended era.
    last_confirmed_at: Option<Duration>,
    started_at: Duration,
    own_check_at: Option<Duration>,
    lost: bool,
}

impl FreshnessTracker {
    /// Creates the tracker of a node without a configuration.
    ///
    /// From `revoke_time` after the acknowledgment of a revocation, no request with the key may run.
    pub const fn new(revoke_time: Duration, now: Duration) -> Self {
        Self {
            revoke_time,
            held: ConfigVersion(0),
            era: StoreEra(0),
            heard: Vec::new(),
            proof: None,
            last_confirmed_at: None,
            started_at: now,
            own_check_at: None,
            lost: false,
        }
    }

    /// Records the version that the node holds now.
    ///
    /// An earlier proof still counts. A newer version contains every revocation of the older one.
    pub fn record_config(&mut self, version: ConfigVersion) {
        self.held = self.held.max(version);
        let held = self.held;
        self.heard.retain(|(heard, _)| *heard > held);
    }

    /// Records at `now` that another node holds `version`.
    pub fn record_peer_version(&mut self, version: ConfigVersion, now: Duration) {
        let is_known = self.heard.iter().any(|(heard, _)| *heard >= version);
        if version > self.held && !is_known && self.heard.len() < HEARD_MAX {
            self.heard.push((version, now));
        }
    }

    /// Records the latest era of the store; a proof of an earlier one no longer counts.
    pub fn record_era(&mut self, era: StoreEra) {
        self.era = self.era.max(era);
        let era = self.era;
        self.proof = self.proof.filter(|(proof, _)| proof.revision.era() >= era);
    }

    /// Records a confirmation, and returns whether it counts as a newer proof.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::{
    ///     config::ConfigVersion,
    ///     freshness::{ConfigProof, FreshnessTracker, KeyValidity, ProofSource},
    ///     store::Revision,
    /// };
    ///
    /// let at = Duration::from_secs;
    /// let mut tracker = FreshnessTracker::new(at(5), at(0));
    /// tracker.record_config(ConfigVersion(3));
    /// let proof = |version, confirmed_at| ConfigProof {
    ///     version: ConfigVersion(version),
    ///     revision: Revision(40),
    ///     confirmed_at,
    /// };
    /// assert!(tracker.record_proof(proof(3, at(10)), ProofSource::Store));
    /// // The store shows an older version: it came back from an older copy.
    /// assert!(!tracker.record_proof(proof(2, at(11)), ProofSource::Store));
    /// let valid = KeyValidity::Valid { remaining: Duration::from_millis(3_500), age: at(1) };
    /// assert_eq!(tracker.validity(at(11)), valid);
    /// assert_eq!(tracker.validity(at(15)), KeyValidity::Expired { age: Some(at(5)) });
    /// ```
    pub fn record_proof(&mut self, proof: ConfigProof, source: ProofSource) -> bool {
        self.record_era(proof.revision.era());
        let is_older = |(known, _): &(ConfigProof, _)| known.confirmed_at >= proof.confirmed_at;
        // The store showed this version after another node held a newer one.
        let is_outdated = |(heard, at): &(ConfigVersion, Duration)| {
            *heard > proof.version && *at <= proof.confirmed_at
        };
        let counts = proof.version == self.held
            && proof.version != ConfigVersion(0)
            && proof.revision != Revision(0)
            && proof.revision.era() == self.era
            && !self.proof.as_ref().is_some_and(is_older)
            && !self.heard.iter().any(is_outdated);
        if counts {
            self.proof = Some((proof, source));
            self.last_confirmed_at = Some(proof.confirmed_at);
        }
        counts
    }

    /// Returns the proof that this node has, which may be too old for requests with a key.
    pub fn proof(&self) -> Option<&ConfigProof> {
        self.proof.as_ref().map(|(proof, _)| proof)
    }

    /// Returns the age of the last proof, also of one of an ended era.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed_at = self.last_confirmed_at?;
        Some(now.saturating_sub(confirmed_at))
    }

    /// Returns for how long requests with a key may begin to run.
    pub fn validity(&self, now: Duration) -> KeyValidity {
        let age = self.age(now);
        let limit = self.revoke_time.saturating_sub(RUN_MARGIN);
        match age.filter(|age| self.proof.is_some() && *age < limit) {
            Some(age) => KeyValidity::Valid {
                remaining: limit.saturating_sub(age),
                age,
            },
            None => KeyValidity::Expired { age },
        }
    }

    /// Returns the longest wait of a watch for the configuration that is sent now.
    ///
    /// Its response is to arrive before the proof is getting old. If the proof is old already, the
    /// watch only confirms the configuration.
    pub fn watch_wait(&self, now: Duration) -> Duration {
        if self.is_older(now, OWN_CHECK_SHARE) {
            return CHECK_WAIT;
        }
        let due = self.revoke_time.mul_f64(RENEWAL_SHARE);
        let wait = due.saturating_sub(self.age(now).unwrap_or_default());
        wait.clamp(WATCH_WAIT_MIN, WATCH_WAIT_MAX)
    }

    /// Returns whether a doubt about a watch's response is to be resolved by a read now.
    pub fn needs_read(&self, now: Duration) -> bool {
        self.is_older(now, READ_SHARE)
    }

    fn is_older(&self, now: Duration, share: f64) -> bool {
        let limit = self.revoke_time.mul_f64(share);
        self.proof.is_none() || self.age(now).is_none_or(|age| age > limit)
    }

    /// Returns the proof from which the node itself has to confirm its configuration now.
    ///
    /// Returns none while the proof is recent enough, and for a second after each check. `jitter`
    /// is the node's own random number from 0 to 1. With it the followers of a relay that has failed
    /// don't call the store all at once.
    pub fn begin_own_check(&mut self, now: Duration, jitter: f64) -> Option<ConfigProof> {
        let share = OWN_CHECK_SHARE + OWN_CHECK_SPREAD * jitter;
        let (proof, _) = self.proof?;
        let is_due = now.saturating_sub(proof.confirmed_at) > self.revoke_time.mul_f64(share);
        let may_check = self
            .own_check_at
            .is_none_or(|at| now >= at + OWN_CHECK_INTERVAL);
        if !is_due || !may_check {
            return None;
        }
        self.own_check_at = Some(now);
        Some(proof)
    }

    /// Returns the change since the last call that operators are told about.
    ///
    /// A node that has just started may take the revocation time for its first proof.
    pub fn take_change(&mut self, now: Duration) -> Option<FreshnessChange> {
        match self.validity(now) {
            KeyValidity::Expired { age } if !self.lost => {
                let is_starting = age.is_none() && now < self.started_at + self.revoke_time;
                self.lost = !is_starting;
                self.lost.then_some(FreshnessChange::Lost { age })
            }
            KeyValidity::Valid { age, .. } if self.lost => {
                self.lost = false;
                let (_, source) = self.proof?;
                Some(FreshnessChange::Regained { age, source })
            }
            _ => None,
        }
    }
}
