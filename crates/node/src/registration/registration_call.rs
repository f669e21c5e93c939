//! Messages between a node and its registrar.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use crate::store::LeaseId;

/// What a node wants done with its announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RegistrationChange {
    /// The announcement stays as it is.
    Keep,
    /// The announcement is written.
    Write {
        /// New value of the key.
        value: String,
    },
    /// The announcement is removed.
    Remove,
}

/// Call of a node to its registrar, before it is checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistrationCall {
    /// Peer address of the calling node.
    pub from: SocketAddr,
    /// Key of its announcement.
    pub key: String,
    /// Revision of the key that the change replaces; 0 if the key doesn't exist.
    pub revision: u64,
    /// Lease under which the announcement is now; none if there is none, or it is unknown.
    #[serde(default)]
    pub lease: Option<LeaseId>,
    /// Change to make.
    pub change: RegistrationChange,
}

/// Response of a registrar to a [`RegistrationCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RegistrationReply {
    /// The announcement is under the registrar's lease, which was renewed recently.
    Kept,
    /// The announcement was written.
    Written {
        /// Revision of the key.
        revision: u64,
        /// Lease of the registrar.
        lease: LeaseId,
    },
    /// The announcement was removed.
    Removed {
        /// Revision of the removal.
        revision: u64,
    },
    /// The key has another revision than expected.
    Conflict {
        /// Current revision of the key; 0 if it doesn't exist.
        current: u64,
    },
    /// The announcement isn't under the registrar's present lease and has to be written again.
    Unleased,
    /// The registrar doesn't reach the store, or stops. A write may have taken effect.
    Failed,
}
