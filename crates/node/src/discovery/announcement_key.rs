//! Keys under which nodes announce themselves in the store.

use std::net::SocketAddr;

/// Prefix of the keys of announcements in the store.
pub const MEMBER_PREFIX: &str = "geranium/member/";
/// Maximum number of characters of a data centre's name in a key. The store limits keys
/// to 200 bytes.
const DATA_CENTRE_MAX_CHARS: usize = 64;

/// Key of a node's announcement in the store.
///
/// Keys are grouped by data centre, so that a node that starts can read the announcements
/// of its own data centre without those of the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementKey {
    text: String,
}

impl AnnouncementKey {
    /// Creates the key of the node at `peer_addr` in a data centre.
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
    /// Characters that would have to be escaped in a query are replaced by `_`, and long
    /// names are cut. Two data centres may therefore share a prefix, but each announcement
    /// names its own data centre.
    pub fn prefix(data_centre: &str) -> String {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
        let name = data_centre.chars().take(DATA_CENTRE_MAX_CHARS);
        let name: String = name.map(|c| if is_allowed(c) { c } else { '_' }).collect();
        format!("{MEMBER_PREFIX}{name}/")
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the address of the node that announces itself under `key`.
    ///
    /// Returns none when `key` isn't the key of an announcement.
    pub fn peer_addr_in(key: &str) -> Option<SocketAddr> {
        let (_, peer_addr) = key.strip_prefix(MEMBER_PREFIX)?.rsplit_once('/')?;
        peer_addr.parse().ok()
    }
}
