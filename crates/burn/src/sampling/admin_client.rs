//! Calls to one node's pages.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{ProxySettings, RequestBuilder};
use geranium_node::{
    admin::{MEMBERS_PATH, METRICS_PATH},
    member::MemberRecord,
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{BurnError, NodeReading, burn_error::NodeUnreachableSnafu};

/// Long enough for a lost SYN to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A node answers in milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Bounds a page that trickles in, by which one sick node would hold up all.
const WHOLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Client of one node's pages.
#[derive(Debug, Clone, Copy)]
pub struct AdminClient {
    addr: SocketAddr,
}

impl AdminClient {
    /// Talks to the node at `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the node's counts.
    ///
    /// # Errors
    ///
    /// [`BurnError::NodeUnreachable`] or [`BurnError::UnexpectedResponse`].
    pub fn reading(self) -> Result<NodeReading, BurnError> {
        let page = self.get(METRICS_PATH)?;
        NodeReading::try_from(page.as_str())
            .map_err(|error| self.unexpected_response(error.to_string()))
    }

    /// Asks the node for every member that it knows.
    ///
    /// # Errors
    ///
    /// [`BurnError::NodeUnreachable`] or [`BurnError::UnexpectedResponse`].
    pub fn members(self) -> Result<Vec<MemberRecord>, BurnError> {
        self.get_json(MEMBERS_PATH)
    }

    fn get_json<T: DeserializeOwned>(self, path: &str) -> Result<T, BurnError> {
        let text = self.get(path)?;
        serde_json::from_str(&text).map_err(|error| self.unexpected_response(error.to_string()))
    }

    fn get(self, path: &str) -> Result<String, BurnError> {
        let addr = self.addr;
        let response = RequestBuilder::new(attohttpc::Method::GET, format!("http://{addr}{path}"))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .timeout(WHOLE_TIMEOUT)
            .proxy_settings(ProxySettings::builder().build())
            .send()
            .context(NodeUnreachableSnafu { addr })?;
        let status = response.status();
        let text = response
            .text_utf8()
            .context(NodeUnreachableSnafu { addr })?;
        if status.is_success() {
            return Ok(text);
        }
        Err(self.unexpected_response(format!("status {}: {}", status.as_u16(), text.trim())))
    }

    fn unexpected_response(self, reason: String) -> BurnError {
        BurnError::UnexpectedResponse {
            addr: self.addr,
            reason,
        }
    }
}
