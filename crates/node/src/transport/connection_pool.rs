//! Kept connections, one request at a time on each.

use std::{cell::RefCell, collections::HashMap, io::ErrorKind, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpSocket,
    time::{Instant, timeout},
};

use super::{ExchangeError, tune_socket};

/// Largest read buffer of a connection: a few windows of a long answer; more
/// would only hold memory for callers that read slowly.
const BUFFER_MAX: usize = 64 * 1024;

/// Settings of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Longest time that a connection may take to open.
    pub connect_time: Duration,
    /// Longest time for which an idle connection is used again.
    pub idle_time: Duration,
}

/// A connection taken out of the pool.
#[derive(Debug)]
pub struct PooledSender {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

#[derive(Debug)]
struct IdleSender {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Kept connections to a few addresses.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: PoolSettings,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleSender>>>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and returns the head of its answer, and the connection
    /// to give back once the body has been read.
    ///
    /// `idle_time` bounds the age of an idle connection that is used again; a
    /// connection found closed before anything was sent is replaced.
    ///
    /// # Errors
    ///
    /// Whether something may have been sent.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        mut request: Request<Full<Bytes>>,
        idle_time: Duration,
    ) -> Result<(Response<Incoming>, PooledSender), ExchangeError> {
        loop {
            let (mut sender, fresh) = match self.take(addr, idle_time) {
                Some(sender) => (sender, false),
                None => (self.connect(addr).await?, true),
            };
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, PooledSender { addr, sender })),
                Err(mut error) => {
                    let reason = error.error().to_string();
                    let Some(unsent) = error.take_message() else {
                        return Err(ExchangeError::ResponseLost { reason });
                    };
                    if fresh {
                        return Err(ExchangeError::NotSent { reason });
                    }
                    request = unsent;
                }
            }
        }
    }

    /// Keeps a connection for the next request.
    pub fn give_back(&self, pooled: PooledSender) {
        if pooled.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(pooled.addr).or_default().push(IdleSender {
            sender: pooled.sender,
            since: Instant::now(),
        });
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        let longest = self.settings.idle_time;
        self.idle.borrow_mut().retain(|_, senders| {
            senders.retain(|idle| !idle.sender.is_closed() && idle.since.elapsed() < longest);
            !senders.is_empty()
        });
    }

    /// Closes every idle connection to `addr`.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Takes the connection used last: the others grow old and are closed, so
    /// no more stay open than are needed.
    fn take(&self, addr: SocketAddr, idle_time: Duration) -> Option<SendRequest<Full<Bytes>>> {
        let longest = idle_time.min(self.settings.idle_time);
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&addr)?;
        senders.retain(|idle| !idle.sender.is_closed());
        let usable = |idle: &IdleSender| idle.sender.is_ready() && idle.since.elapsed() < longest;
        let index = senders.iter().rposition(usable)?;
        Some(senders.remove(index).sender)
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
        let not_sent = |reason: String| ExchangeError::NotSent { reason };
        let socket = TcpSocket::new_v4().map_err(|error| not_sent(error.to_string()))?;
        tune_socket(&socket);
        let stream = timeout(self.settings.connect_time, socket.connect(addr)).await;
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
        builder.max_buf_size(BUFFER_MAX);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
        // How a connection ends shows in the request that it carries.
        tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(sender)
    }
}
