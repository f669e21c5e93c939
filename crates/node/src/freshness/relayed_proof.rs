//! Proof that a relay sends to its followers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ConfigProof;
use crate::{config::ConfigVersion, store::Revision};

/// Proof that a relay sends to its followers.
///
/// It holds durations only, as the nodes have no common clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedProof {
    /// Version that was the latest.
    pub version: ConfigVersion,
    /// Revision of the store as of which the version was the latest.
    pub revision: u64,
    /// Age of the proof in milliseconds when the response was written, rounded up.
    pub age_ms: u64,
    /// Milliseconds for which the relay held the request, rounded down.
    pub held_ms: u64,
    /// Distinguishes the relay's proofs. The follower names the last one with its next request.
    pub stamp: u64,
}

impl RelayedProof {
    /// Creates the message about a relay's proof at `now`.
    ///
    /// `received_at` is the time at which the request arrived. Both are times of the relay's boot
    /// clock.
    pub fn new(proof: &ConfigProof, received_at: Duration, now: Duration) -> Self {
        let age = now.saturating_sub(proof.confirmed_at);
        Self {
            version: proof.version,
            revision: proof.revision.0,
            age_ms: age.as_millis() as u64 + 1,
            held_ms: now.saturating_sub(received_at).as_millis() as u64,
            stamp: Self::stamp(proof),
        }
    }

    /// Returns the number that distinguishes this proof from the relay's other ones.
    pub const fn stamp(proof: &ConfigProof) -> u64 {
        proof.confirmed_at.as_micros() as u64
    }

    /// Returns the proof by the follower's boot clock.
    ///
    /// The request was sent at `sent_at`, and its response was read at `now`. Of the round trip only
    /// the time for which the relay held the request is known to be contained in the age already.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::{config::ConfigVersion, freshness::RelayedProof};
    ///
    /// let message = RelayedProof {
    ///     version: ConfigVersion(7),
    ///     revision: 530,
    ///     age_ms: 200,
    ///     held_ms: 900,
    ///     stamp: 1,
    /// };
    /// let (sent_at, now) = (Duration::from_secs(60), Duration::from_secs(61));
    /// // 200 ms old when the response was written, and 100 ms on the way.
    /// let proof = message.received(sent_at, now);
    /// assert_eq!(now - proof.confirmed_at, Duration::from_millis(300));
    /// ```
    pub fn received(&self, sent_at: Duration, now: Duration) -> ConfigProof {
        let round_trip = now.saturating_sub(sent_at);
        let on_the_way = round_trip.saturating_sub(Duration::from_millis(self.held_ms));
        let age = Duration::from_millis(self.age_ms).saturating_add(on_the_way);
        ConfigProof {
            version: self.version,
            revision: Revision(self.revision),
            confirmed_at: now.saturating_sub(age),
        }
    }
}
