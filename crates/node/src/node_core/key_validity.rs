//! Proofs of freshness of this node, and for how long requests with a key may run.

use std::{net::SocketAddr, time::Duration};

use slog::{info, warn};

use super::NodeCore;
use crate::{
    boot_clock::BootClock,
    config::ConfigVersion,
    freshness::{
        ConfigProof, FreshnessChange, FreshnessTracker, KeyValidity, ProofSource, RelayedProof,
    },
    node_settings::NodeSettings,
};

/// Wait of a watch by which a node confirms its configuration itself.
pub const CHECK_WAIT: Duration = Duration::from_millis(1);

/// Returns the tracker of a node; none where revocations needn't fail closed.
pub(super) fn new_tracker(settings: &NodeSettings) -> Option<FreshnessTracker> {
    let terms = settings.accounts.filter(|terms| terms.fails_closed)?;
    Some(FreshnessTracker::new(terms.revoke_time, BootClock::now()))
}

impl NodeCore {
    /// Returns for how long requests with a key may run, by what this node knows.
    ///
    /// The validity is unlimited where the settings don't ask for proofs, and where the
    /// configuration in force has no accounts.
    pub fn key_validity(&self) -> KeyValidity {
        let config = self.config.borrow();
        if config
            .as_ref()
            .is_some_and(|config| config.accounts.is_empty())
        {
            return KeyValidity::Unlimited;
        }
        let validity = self.with_tracker(|tracker| tracker.validity(BootClock::now()));
        validity.unwrap_or(KeyValidity::Unlimited)
    }

    /// Returns whether this node needs proofs of freshness.
    pub fn needs_proofs(&self) -> bool {
        self.freshness.borrow().is_some()
    }

    /// Returns the last proof of this node.
    pub fn config_proof(&self) -> Option<ConfigProof> {
        self.with_tracker(|tracker| tracker.proof().copied())?
    }

    /// Returns the age of the last proof; none if there was none.
    pub fn proof_age(&self) -> Option<Duration> {
        self.with_tracker(|tracker| tracker.age(BootClock::now()))?
    }

    /// Returns the longest wait of a watch for the configuration; none where no proofs are needed.
    pub fn proof_watch_wait(&self) -> Option<Duration> {
        self.with_tracker(|tracker| tracker.watch_wait(BootClock::now()))
    }

    /// Returns whether a doubt about a watch's response is to be resolved by a read now.
    pub fn needs_proof_read(&self) -> bool {
        self.with_tracker(|tracker| tracker.needs_read(BootClock::now())) == Some(true)
    }

    /// Records a confirmation of the configuration.
    ///
    /// The waits of the followers end if it is a newer proof than the last one.
    pub fn record_proof(&self, proof: Option<ConfigProof>, source: ProofSource) {
        let Some(proof) = proof else {
            return;
        };
        if self.with_tracker(|tracker| tracker.record_proof(proof, source)) == Some(true) {
            self.update_arrived.notify_waiters();
        }
    }

    /// Records the proof that the node at `peer_addr` sent in response to a request of `sent_at`.
    pub fn record_relayed_proof(
        &self,
        peer_addr: SocketAddr,
        relayed: Option<RelayedProof>,
        sent_at: Duration,
    ) {
        let Some(relayed) = relayed.filter(|_| self.needs_proofs()) else {
            return;
        };
        self.relayed_stamp.set(Some((peer_addr, relayed.stamp)));
        let proof = relayed.received(sent_at, BootClock::now());
        self.eras.observe(proof.revision.era());
        self.record_proof(Some(proof), ProofSource::Relay);
    }

    /// Records the version that the sender of an update request holds.
    ///
    /// A node that has just started may read an older version from a store that was restored.
    pub fn record_follower_version(&self, version: ConfigVersion) {
        self.with_tracker(|tracker| tracker.record_peer_version(version, BootClock::now()));
    }

    /// Returns the stamp of the last proof that the node at `peer_addr` sent.
    ///
    /// Returns 0 if it sent none, and none where no proofs are needed.
    pub fn stamp_from(&self, peer_addr: SocketAddr) -> Option<u64> {
        let last = self.relayed_stamp.get();
        let last = last.filter(|(sender, _)| *sender == peer_addr);
        self.needs_proofs()
            .then(|| last.map_or(0, |(_, stamp)| stamp))
    }

    /// Returns the proof from which this node has to confirm its configuration itself now.
    pub fn begin_own_check(&self, jitter: f64) -> Option<ConfigProof> {
        if !self.store_access.borrow().allows_calls() {
            return None;
        }
        self.with_tracker(|tracker| tracker.begin_own_check(BootClock::now(), jitter))?
    }

    /// Logs when the proof of freshness is lost and regained.
    pub fn log_freshness(&self) {
        if self.key_validity() == KeyValidity::Unlimited {
            return;
        }
        let change = self.with_tracker(|tracker| tracker.take_change(BootClock::now()));
        match change.flatten() {
            Some(FreshnessChange::Lost { age }) => {
                warn!(self.log.logger(), "no proof of freshness";
                    "age_ms" => age.map(|age| age.as_millis() as u64),
                    "version" => self.version().0);
            }
            Some(FreshnessChange::Regained { age, source }) => {
                let source: &'static str = source.into();
                info!(self.log.logger(), "proof of freshness regained";
                    "age_ms" => age.as_millis() as u64,
                    "source" => source,
                    "version" => self.version().0);
            }
            None => {}
        }
    }

    /// Calls `action` with the tracker, after it has learned of the latest era.
    pub(super) fn with_tracker<T>(
        &self,
        action: impl FnOnce(&mut FreshnessTracker) -> T,
    ) -> Option<T> {
        let mut freshness = self.freshness.borrow_mut();
        let tracker = freshness.as_mut()?;
        tracker.record_era(self.eras.latest());
        Some(action(tracker))
    }
}
