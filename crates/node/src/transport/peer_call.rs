//! A call of one node to another, apart from callers' requests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use snafu::Snafu;
use tokio::time::timeout;

use super::{ConnectionPool, ExchangeError};

/// A call of one node to another.
#[derive(Debug, Clone)]
pub struct PeerCall<P> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: P,
    /// Body.
    pub body: Bytes,
    /// Longest time until the answer is here.
    pub time: Duration,
}

/// Failure of a call to another node.
#[derive(Debug, Snafu)]
pub enum PeerCallError {
    /// The node can't be reached, or the connection broke.
    #[snafu(display("{source}"), context(false))]
    Exchange {
        /// What was met.
        source: ExchangeError,
    },
    /// The answer broke off.
    #[snafu(display("{source}"), context(false))]
    Body {
        /// What was met.
        source: hyper::Error,
    },
    /// The node refused.
    #[snafu(display("status {status}"))]
    Refused {
        /// Status.
        status: StatusCode,
    },
    /// No answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

impl<P: AsRef<str>> PeerCall<P> {
    /// Sends it to the node at `peer_addr` and returns the body of the answer;
    /// `idle_timeout` bounds the age of a kept connection.
    ///
    /// # Errors
    ///
    /// When no good answer is here in time.
    pub async fn send(
        self,
        pool: &ConnectionPool,
        peer_addr: SocketAddr,
        idle_timeout: Duration,
    ) -> Result<Bytes, PeerCallError> {
        let time = self.time;
        let answered = timeout(time, self.exchange(pool, peer_addr, idle_timeout)).await;
        answered.unwrap_or(Err(PeerCallError::TimedOut))
    }

    async fn exchange(
        self,
        pool: &ConnectionPool,
        peer_addr: SocketAddr,
        idle_timeout: Duration,
    ) -> Result<Bytes, PeerCallError> {
        let mut request = Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = Uri::try_from(self.path.as_ref()).unwrap_or_default();
        let (response, sender) = pool.exchange(peer_addr, request, idle_timeout).await?;
        let status = response.status();
        let whole = response.into_body().collect().await?.to_bytes();
        pool.put_back(sender);
        if status.is_success() {
            Ok(whole)
        } else {
            Err(PeerCallError::Refused { status })
        }
    }
}
