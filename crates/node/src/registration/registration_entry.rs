//! Checked calls of nodes to their registrar.

use std::net::SocketAddr;

use snafu::Snafu;

use super::{RegistrationCall, RegistrationChange};
use crate::{
    discovery::AnnouncementKey,
    store::{LeaseId, Revision, StoreWrite},
};

/// Longest announcement in bytes. One takes some 300 bytes.
const VALUE_MAX_BYTES: usize = 16 * 1024;

/// Checked change of the announcement of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistrationEntry {
    peer_addr: SocketAddr,
    key: String,
    revision: Revision,
    lease: Option<LeaseId>,
    change: RegistrationChange,
}

/// Reason why a call to a registrar is refused.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum RegistrationError {
    /// The key isn't that of the calling node's announcement.
    #[snafu(display("{key} isn't the announcement of {from}"))]
    ForeignKey {
        /// Key in the call.
        key: String,
        /// Peer address of the calling node.
        from: SocketAddr,
    },
    /// The announcement is too long.
    #[snafu(display("the announcement has {bytes} bytes"))]
    TooLong {
        /// Length of the announcement in bytes.
        bytes: usize,
    },
}

impl TryFrom<RegistrationCall> for RegistrationEntry {
    type Error = RegistrationError;

    /// Checks a call.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::registration::{
    ///     RegistrationCall, RegistrationChange, RegistrationEntry,
    /// };
    ///
    /// let call = |key: &str| RegistrationCall {
    ///     from: "10.1.0.4:7600".parse().expect("an address"),
    ///     key: key.to_owned(),
    ///     revision: 7,
    ///     lease: None,
    ///     change: RegistrationChange::Remove,
    /// };
    /// assert!(RegistrationEntry::try_from(call("geranium/member/hofdi/10.1.0.4:7600")).is_ok());
    /// assert!(RegistrationEntry::try_from(call("geranium/member/hofdi/10.1.0.5:7600")).is_err());
    /// assert!(RegistrationEntry::try_from(call("geranium/presets/night")).is_err());
    /// ```
    fn try_from(call: RegistrationCall) -> Result<Self, RegistrationError> {
        if AnnouncementKey::peer_addr_in(&call.key) != Some(call.from) {
            return ForeignKeySnafu {
                key: call.key,
                from: call.from,
            }
            .fail();
        }
        if let RegistrationChange::Write { value } = &call.change
            && value.len() > VALUE_MAX_BYTES
        {
            return TooLongSnafu { bytes: value.len() }.fail();
        }
        Ok(Self {
            peer_addr: call.from,
            key: call.key,
            revision: Revision(call.revision),
            lease: call.lease,
            change: call.change,
        })
    }
}

impl RegistrationEntry {
    /// Creates the removal of the announcement of a member that has been silent for too long.
    pub(super) const fn removal(peer_addr: SocketAddr, key: String, revision: Revision) -> Self {
        Self {
            peer_addr,
            key,
            revision,
            lease: None,
            change: RegistrationChange::Remove,
        }
    }

    /// Returns the same change for a key that is at `revision`.
    pub(super) fn at_revision(self, revision: Revision) -> Self {
        Self { revision, ..self }
    }

    /// Returns the peer address of the announced node.
    pub const fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the key of the announcement.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the revision that the change replaces.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the lease under which the announcement is before the change.
    pub const fn lease(&self) -> Option<LeaseId> {
        self.lease
    }

    /// Returns whether the announcement stays as it is.
    pub const fn is_kept(&self) -> bool {
        matches!(self.change, RegistrationChange::Keep)
    }

    /// Returns whether the announcement is removed.
    pub const fn is_removed(&self) -> bool {
        matches!(self.change, RegistrationChange::Remove)
    }

    /// Returns the write of the change under `lease`; none if the announcement is kept.
    pub(super) fn write(&self, lease: LeaseId) -> Option<StoreWrite<'_>> {
        match &self.change {
            RegistrationChange::Keep => None,
            RegistrationChange::Write { value } => Some(StoreWrite::leased(
                &self.key,
                value.as_bytes(),
                self.revision,
                lease,
            )),
            RegistrationChange::Remove => Some(StoreWrite::remove(&self.key, self.revision)),
        }
    }
}
