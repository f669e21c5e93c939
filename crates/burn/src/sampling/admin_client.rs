//! HTTP client of a node's admin address.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{ProxySettings, RequestBuilder};
use geranium_node::{
    admin::{MEMBERS_PATH, METRICS_PATH},
    member::MemberRecord,
};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::{BurnError, NodeReading, burn_error::NodeUnreachableSnafu};

/// Timeout of connecting; long enough for a lost SYN to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a single read; a node normally responds within milliseconds.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the whole call.
///
/// A page that arrives slowly would delay the sample of all nodes.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(6);

/// Client of one node's admin address, for its metrics and its members.
#[derive(Debug, Clone, Copy)]
pub struct AdminClient {
    addr: SocketAddr,
}

impl AdminClient {
    /// Creates a client of the node with the admin address `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the node's metrics page.
    ///
    /// # Errors
    ///
    /// Returns [`BurnError::NodeUnreachable`] when the call fails, or
    /// [`BurnError::UnexpectedResponse`] for an error status or a page that can't
    /// be parsed.
    pub fn reading(self) -> Result<NodeReading, BurnError> {
        let page = self.get(METRICS_PATH)?;
        NodeReading::try_from(page.as_str())
            .map_err(|error| self.unexpected_response(error.to_string()))
    }

    /// Reads the records of all members that the node knows.
    ///
    /// # Errors
    ///
    /// Returns [`BurnError::NodeUnreachable`] when the call fails, or
    /// [`BurnError::UnexpectedResponse`] for an error status or records that
    /// can't be parsed.
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
            .timeout(TOTAL_TIMEOUT)
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
