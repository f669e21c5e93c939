//! What one node tells another of the members.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::MemberRecord;

/// What one node tells another of the members.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Revision of the store up to which this goes.
    pub revision: u64,
    /// Whether this is all there is: members that aren't named are missing.
    pub whole: bool,
    /// Announcements with the revisions at which they were written.
    pub written: Vec<(MemberRecord, u64)>,
    /// Members whose announcement is missing, with the revision of that.
    pub lapsed: Vec<(SocketAddr, u64)>,
}

impl MemberUpdate {
    /// Whether it tells nothing.
    pub const fn is_empty(&self) -> bool {
        !self.whole && self.written.is_empty() && self.lapsed.is_empty()
    }
}
