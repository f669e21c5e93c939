//! Members whose announcements a registrar keeps.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::store::Revision;

/// Time without a call after which a member counts as gone. It equals the time after which the
/// store removes an announcement that a node keeps under a lease of its own.
const SILENCE_MAX: Duration = Duration::from_secs(6);

#[derive(Debug, Clone)]
struct RosterEntry {
    key: String,
    revision: Revision,
    called_at: Duration,
}

/// Members that a registrar has heard from, with the revisions of their announcements.
#[derive(Debug, Default)]
pub struct MemberRoster {
    entries: HashMap<SocketAddr, RosterEntry>,
}

impl MemberRoster {
    /// Records a call of a member whose announcement is at `revision`.
    pub fn record_call(
        &mut self,
        now: Duration,
        peer_addr: SocketAddr,
        key: impl Into<String>,
        revision: Revision,
    ) {
        let entry = RosterEntry {
            key: key.into(),
            revision,
            called_at: now,
        };
        self.entries.insert(peer_addr, entry);
    }

    /// Removes a member.
    pub fn remove(&mut self, peer_addr: SocketAddr) {
        self.entries.remove(&peer_addr);
    }

    /// Removes and returns the members that count as gone: address, key and revision of the
    /// announcement.
    ///
    /// A member that has moved to another registrar has a later revision. The removal of its
    /// announcement must therefore name the revision that is returned here.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::{net::SocketAddr, time::Duration};
    /// use geranium_node::{registration::MemberRoster, store::Revision};
    ///
    /// let peer_addr = SocketAddr::from(([10, 1, 0, 4], 7600));
    /// let key = "geranium/member/hofdi/10.1.0.4:7600";
    /// let mut roster = MemberRoster::default();
    /// roster.record_call(Duration::ZERO, peer_addr, key, Revision(12));
    /// assert!(roster.take_silent(Duration::from_secs(5)).is_empty());
    /// let silent = roster.take_silent(Duration::from_secs(7));
    /// assert_eq!(silent, [(peer_addr, key.to_owned(), Revision(12))]);
    /// assert!(roster.is_empty());
    /// ```
    pub fn take_silent(&mut self, now: Duration) -> Vec<(SocketAddr, String, Revision)> {
        let silent = self
            .entries
            .extract_if(|_, entry| now >= entry.called_at + SILENCE_MAX);
        silent
            .map(|(peer_addr, entry)| (peer_addr, entry.key, entry.revision))
            .collect()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
