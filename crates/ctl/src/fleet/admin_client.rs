//! HTTP client of a node's admin address.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{ProxySettings, RequestBuilder};
use geranium_node::{
    admin::{MEMBERS_PATH, NodeStatus, STATUS_PATH},
    member::MemberRecord,
};
use serde::de::DeserializeOwned;

/// Timeout of connecting; long enough for a lost SYN to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a whole request; a node normally responds within milliseconds.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of one node's admin address, for its status and its members.
#[derive(Debug, Clone, Copy)]
pub struct AdminClient {
    addr: SocketAddr,
}

impl AdminClient {
    /// Creates a client of the node with the admin address `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the node's status.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be reached, or responds with an error status or a body
    /// that can't be parsed.
    pub fn status(self) -> attohttpc::Result<NodeStatus> {
        self.get(STATUS_PATH)
    }

    /// Reads the members that the node knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the node can't be reached, or responds with an error status or a body
    /// that can't be parsed.
    pub fn members(self) -> attohttpc::Result<Vec<MemberRecord>> {
        self.get(MEMBERS_PATH)
    }

    fn get<T: DeserializeOwned>(self, path: &str) -> attohttpc::Result<T> {
        let url = format!("http://{}{path}", self.addr);
        RequestBuilder::new(attohttpc::Method::GET, url)
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(TOTAL_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .send()?
            .error_for_status()?
            .json()
    }
}
