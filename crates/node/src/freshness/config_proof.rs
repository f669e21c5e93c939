//! Proof that a configuration was the latest at some time.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::{config::ConfigVersion, store::Revision};

/// Proof that a configuration was the latest at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigProof {
    /// Version that was the latest.
    pub version: ConfigVersion,
    /// Revision of the store as of which the version was the latest.
    pub revision: Revision,
    /// Time of this node's boot clock at which the version was the latest.
    ///
    /// For a call to the store it is the time of the sending. The response shows a state that isn't
    /// older than that, however late it is read.
    pub confirmed_at: Duration,
}

/// Where a proof comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ProofSource {
    /// The store, to a node that watches it.
    Store,
    /// The store, to a node whose relay sends no proofs.
    OwnCheck,
    /// The relay.
    Relay,
}
