//! Nodes at which requests are in flight.

use std::{collections::HashMap, net::SocketAddr};

/// Counts the requests in flight at each node, whether or not the node is still a member.
#[derive(Debug, Default)]
pub struct PeersInUse {
    requests: HashMap<SocketAddr, u32>,
}

impl PeersInUse {
    /// Counts a request that is sent to `peer_addr`.
    pub fn record_sent(&mut self, peer_addr: SocketAddr) {
        *self.requests.entry(peer_addr).or_default() += 1;
    }

    /// Counts the end of a request at `peer_addr`.
    pub fn record_ended(&mut self, peer_addr: SocketAddr) {
        if let Some(count) = self.requests.get_mut(&peer_addr) {
            *count -= 1;
            if *count == 0 {
                self.requests.remove(&peer_addr);
            }
        }
    }

    /// Returns the addresses of the nodes at which requests are in flight.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::outbound::PeersInUse;
    ///
    /// let [first, second] = ["10.1.0.4:7600".parse()?, "10.1.0.5:7600".parse()?];
    /// let mut peers = PeersInUse::default();
    /// peers.record_sent(first);
    /// peers.record_sent(second);
    /// peers.record_ended(second);
    /// assert_eq!(peers.addrs().collect::<Vec<_>>(), [first]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> {
        self.requests.keys().copied()
    }
}
