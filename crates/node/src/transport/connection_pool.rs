//! Pool of HTTP/1 connections, each with one request at a time.

use std::{cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpSocket,
    time::{Instant, timeout},
};

use super::{ExchangeError, keep_alive::keep_alive_timeout, tune_socket};
use crate::request_body::BodyStream;

/// Largest read buffer of a connection: a few windows of a long response. More
/// would only hold memory for callers that read slowly.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Time before the end of the idle time that a server states from which its connection isn't reused.
/// The server's time begins before this node has read the response, and the next request takes a
/// moment to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(300);

/// Timeouts of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Longest time that a connection may take to open.
    pub connect_timeout: Duration,
    /// Longest idle time after which a connection is reused.
    pub idle_timeout: Duration,
}

/// Connection that is in use, and may be put back into the pool.
#[derive(Debug)]
pub struct PooledConnection {
    addr: SocketAddr,
    sender: SendRequest<BodyStream>,
    /// Idle time after which the server closes the connection; none if it states none.
    keep_alive: Option<Duration>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<BodyStream>,
    idle_since: Instant,
    /// Longest idle time after which the connection is reused.
    reusable_for: Duration,
}

/// Pool of idle connections by address.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and returns the head of its response, and the connection.
    ///
    /// The connection is to be put back once the body has been read. It is one that was
    /// idle for less than `idle_timeout` and the time that its server stated, or a new one. An idle connection that turns out
    /// to be closed before anything was sent is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether some of the request may have been sent.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        mut request: Request<BodyStream>,
        idle_timeout: Duration,
    ) -> Result<(Response<Incoming>, PooledConnection), ExchangeError> {
        loop {
            let (mut sender, is_new) = match self.take_idle(addr, idle_timeout) {
                Some(sender) => (sender, false),
                None => (self.connect(addr).await?, true),
            };
            match sender.try_send_request(request).await {
                Ok(response) => {
                    let pooled = PooledConnection {
                        addr,
                        sender,
                        keep_alive: keep_alive_timeout(response.headers()),
                    };
                    return Ok((response, pooled));
                }
                Err(mut error) => {
                    let reason = error.error().to_string();
                    let Some(unsent) = error.take_message() else {
                        return Err(ExchangeError::ResponseLost { reason });
                    };
                    if is_new {
                        return Err(ExchangeError::NotSent { reason });
                    }
                    request = unsent;
                }
            }
        }
    }

    /// Puts a connection back for the next request, unless it is closed.
    pub fn put_back(&self, pooled: PooledConnection) {
        if pooled.sender.is_closed() {
            return;
        }
        let keep_alive = pooled.keep_alive.unwrap_or(Duration::MAX);
        let mut idle = self.idle.borrow_mut();
        idle.entry(pooled.addr).or_default().push(IdleConnection {
            sender: pooled.sender,
            idle_since: Instant::now(),
            reusable_for: keep_alive.saturating_sub(KEEP_ALIVE_MARGIN),
        });
    }

    /// Closes connections that have been idle for longer than the pool's timeout.
    pub fn sweep(&self) {
        let longest = self.settings.idle_timeout;
        self.idle.borrow_mut().retain(|_, senders| {
            senders.retain(|idle| !idle.sender.is_closed() && idle.idle_since.elapsed() < longest);
            !senders.is_empty()
        });
    }

    /// Closes every idle connection to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Takes the most recently used idle connection to `addr`.
    ///
    /// The others reach their idle timeout and are closed, so that no more connections
    /// stay open than are needed.
    fn take_idle(
        &self,
        addr: SocketAddr,
        idle_timeout: Duration,
    ) -> Option<SendRequest<BodyStream>> {
        let longest = idle_timeout.min(self.settings.idle_timeout);
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&addr)?;
        senders.retain(|idle| !idle.sender.is_closed());
        let usable = |idle: &IdleConnection| {
            idle.sender.is_ready() && idle.idle_since.elapsed() < longest.min(idle.reusable_for)
        };
        let index = senders.iter().rposition(usable)?;
        Some(senders.remove(index).sender)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<BodyStream>, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent { reason };
        let socket = TcpSocket::new_v4().map_err(|error| not_sent(error.to_string()))?;
        tune_socket(&socket);
        let stream = timeout(self.settings.connect_timeout, socket.connect(addr)).await;
        let stream = stream.map_err(|elapsed| not_sent(elapsed.to_string()))?;
        let stream = stream.map_err(|error| {
            let reason = error.to_string();
            match error.kind() {
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => {
                    ExchangeError::Refused { reason }
                }
                _ => ExchangeError::NotSent { reason },
            }
        })?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_MAX_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        // An error of the connection is reported to the request that it carries.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }
}
