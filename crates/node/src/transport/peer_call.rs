//! Calls between nodes that carry no caller's request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use snafu::Snafu;
use tokio::time::timeout;

use super::{ConnectionPool, ExchangeError};
use crate::request_body::{BodyStream, MessageError, read_message};

/// Largest response in bytes: a whole configuration, and all members.
const RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Call from one node to another that carries no caller's request.
#[derive(Debug, Clone)]
pub struct PeerCall<P> {
    /// HTTP method of the call.
    pub method: Method,
    /// Path and query of the call.
    pub path: P,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Longest time until the whole response has arrived.
    pub timeout: Duration,
}

/// Failure of a call to another node, as the calling node sees it.
#[derive(Debug, Snafu)]
pub enum PeerCallError {
    /// The node can't be reached, or the connection broke.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// Failure of the HTTP exchange.
        source: ExchangeError,
    },
    /// The connection broke during the response body, or the body is too long.
    #[snafu(display("{source}"), context(false))]
    Body {
        /// Why the body wasn't read.
        source: MessageError,
    },
    /// The node responded with a status other than 2xx.
    #[snafu(display("status {status}"))]
    Refused {
        /// HTTP status.
        status: StatusCode,
    },
    /// The response didn't arrive in time.
    #[snafu(display("no response in time"))]
    TimedOut,
}

impl<P: AsRef<str>> PeerCall<P> {
    /// Sends the call to the node at `peer_addr` and returns the response body.
    ///
    /// `idle_timeout` is the longest idle time after which a connection is reused.
    ///
    /// # Errors
    ///
    /// Returns an error when no response with a 2xx status arrives in time.
    pub async fn send(
        self,
        pool: &ConnectionPool,
        peer_addr: SocketAddr,
        idle_timeout: Duration,
    ) -> Result<Bytes, PeerCallError> {
        let time_limit = self.timeout;
        let result = timeout(time_limit, self.exchange(pool, peer_addr, idle_timeout)).await;
        result.unwrap_or(Err(PeerCallError::TimedOut))
    }

    async fn exchange(
        self,
        pool: &ConnectionPool,
        peer_addr: SocketAddr,
        idle_timeout: Duration,
    ) -> Result<Bytes, PeerCallError> {
        let mut request = Request::new(BodyStream::from(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = Uri::try_from(self.path.as_ref()).unwrap_or_default();
        let (response, sender) = pool.exchange(peer_addr, request, idle_timeout).await?;
        let status = response.status();
        let whole = read_message(response.into_body(), RESPONSE_MAX_BYTES).await?;
        pool.put_back(sender);
        if status.is_success() {
            Ok(whole)
        } else {
            Err(PeerCallError::Refused { status })
        }
    }
}
