//! Proof that the configuration in force was the latest a short while ago.
//!
//! A [`ConfigProof`] states when this node's configuration was last known to be the latest in the
//! store. Nodes that watch the store obtain proofs from its responses ([`StoreView`]), the others
//! from their relay ([`RelayedProof`]). [`FreshnessTracker`] decides from them for how long requests
//! with a key may run. It is made for stores and relays that are cut off, frozen or restored from an
//! older copy at any moment; a proof that is counted as more recent than it is would let revoked
//! keys run.

mod config_proof;
mod freshness_change;
mod freshness_tracker;
mod key_validity;
mod relayed_proof;
mod store_view;

pub use config_proof::{ConfigProof, ProofSource};
pub use freshness_change::FreshnessChange;
pub use freshness_tracker::FreshnessTracker;
pub use key_validity::KeyValidity;
pub use relayed_proof::RelayedProof;
pub use store_view::{DocumentEvent, StoreView};
