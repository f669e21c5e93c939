//! Keys of announcements in the store.

use std::net::SocketAddr;

/// Prefix of the announcements in the store.
pub const MEMBER_PREFIX: &str = "geranium/member/";
/// Most characters of a data centre's name in a key; keys are limited to 200 bytes.
const PLACE_MAX: usize = 64;

/// Key of an announcement.
///
/// Announcements are grouped by data centre, so that a node that starts can read those
/// of its neighbours without those of the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementKey {
    text: String,
}

impl AnnouncementKey {
    /// Makes the key of the node at `peer_addr`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::net::SocketAddr;
    /// use geranium_node::discovery::AnnouncementKey;
    ///
    /// let peer_addr = SocketAddr::from(([10, 1, 0, 4], 7600));
    /// let key = AnnouncementKey::new("hofdi", peer_addr);
    /// assert_eq!(key.as_str(), "geranium/member/hofdi/10.1.0.4:7600");
    /// assert_eq!(AnnouncementKey::peer_addr_in(key.as_str()), Some(peer_addr));
    /// ```
    pub fn new(data_centre: &str, peer_addr: SocketAddr) -> Self {
        let text = format!("{}{peer_addr}", Self::prefix(data_centre));
        Self { text }
    }

    /// Returns the prefix of all keys of a data centre.
    ///
    /// Characters that would need quoting in a query are replaced. Two data centres may
    /// share a prefix by that; announcements name their data centre themselves.
    pub fn prefix(data_centre: &str) -> String {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        let place = data_centre.chars().take(PLACE_MAX);
        let place: String = place.map(|c| if plain(c) { c } else { '_' }).collect();
        format!("{MEMBER_PREFIX}{place}/")
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the address of the node whose announcement stands at `key`; none when it
    /// is another kind of key.
    pub fn peer_addr_in(key: &str) -> Option<SocketAddr> {
        let (_, peer_addr) = key.strip_prefix(MEMBER_PREFIX)?.rsplit_once('/')?;
        peer_addr.parse().ok()
    }
}
