//! Calls to a node's pages.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{ProxySettings, RequestBuilder};
use geranium_node::{
    admin::{MEMBERS_PATH, NodeStatus, STATUS_PATH},
    member::MemberRecord,
};
use serde::de::DeserializeOwned;

/// Long enough for a lost opening packet to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A node answers in milliseconds.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of one node's pages.
#[derive(Debug, Clone, Copy)]
pub struct StatusClient {
    addr: SocketAddr,
}

impl StatusClient {
    /// Asks the node whose pages are at `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads its status.
    ///
    /// # Errors
    ///
    /// When the node can't be reached or answers something unexpected.
    pub fn status(self) -> attohttpc::Result<NodeStatus> {
        self.get(STATUS_PATH)
    }

    /// Reads the members that the node knows.
    ///
    /// # Errors
    ///
    /// When the node can't be reached or answers something unexpected.
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
