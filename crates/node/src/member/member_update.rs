//! Changes of members that one node sends to another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::MemberRecord;

/// Changes of members that one node sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Revision of the store up to which the update goes.
    pub revision: u64,
    /// Whether the update lists all members; the announcements of other members are
    /// missing.
    pub whole: bool,
    /// Announcements with the revisions at which they were written.
    pub written: Vec<(MemberRecord, u64)>,
    /// Members whose announcement lapsed or was deleted, with the revision at which that
    /// happened.
    pub lapsed: Vec<(SocketAddr, u64)>,
}

impl MemberUpdate {
    /// Whether the update has no changes.
    pub const fn is_empty(&self) -> bool {
        !self.whole && self.written.is_empty() && self.lapsed.is_empty()
    }
}
