//! Calls to the nodes' admin ports.

use std::{net::SocketAddr, time::Duration};

use attohttpc::{Method, ProxySettings, RequestBuilder};
use geranium_model::MemberRow;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::NodeStatus;
use crate::{CtlError, ctl_error::NodeUnreachableSnafu};

/// Long enough for a lost SYN to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A node answers in milliseconds, a list of 1,600 members included.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of one node's admin port.
#[derive(Debug, Clone, Copy)]
pub struct AdminClient {
    addr: SocketAddr,
}

impl AdminClient {
    /// Talks to the node at `addr`.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Asks the node for its own state.
    ///
    /// # Errors
    ///
    /// [`CtlError::NodeUnreachable`] or [`CtlError::NodeBadAnswer`].
    pub fn status(self) -> Result<NodeStatus, CtlError> {
        self.get("/status")
    }

    /// Asks the node for every member that it knows.
    ///
    /// # Errors
    ///
    /// [`CtlError::NodeUnreachable`] or [`CtlError::NodeBadAnswer`].
    pub fn members(self) -> Result<Vec<MemberRow>, CtlError> {
        self.get("/members")
    }

    /// Asks the node to take no new work; returns what it answered.
    ///
    /// # Errors
    ///
    /// [`CtlError::NodeUnreachable`] or [`CtlError::NodeBadAnswer`].
    pub fn drain(self) -> Result<String, CtlError> {
        self.send(Method::POST, "/drain")
    }

    fn get<T: DeserializeOwned>(self, path: &str) -> Result<T, CtlError> {
        let text = self.send(Method::GET, path)?;
        serde_json::from_str(&text).map_err(|error| self.bad_answer(error.to_string()))
    }

    fn send(self, method: Method, path: &str) -> Result<String, CtlError> {
        let addr = self.addr;
        let response = RequestBuilder::new(method, format!("http://{addr}{path}"))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
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
        Err(self.bad_answer(format!("status {}: {}", status.as_u16(), text.trim())))
    }

    fn bad_answer(self, reason: String) -> CtlError {
        CtlError::NodeBadAnswer {
            addr: self.addr,
            reason,
        }
    }
}
