//! HTTP ports of the node, as sockets.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;

/// Connections that may wait to be accepted: a herd of callers reconnecting.
const BACKLOG: i32 = 1_024;

/// A socket bound to its address that refuses connections as yet.
///
/// Binding early shows a bad address at the start; listening late lets callers
/// be refused by the system, and go elsewhere, until they can be served.
#[derive(Debug)]
pub struct BoundSocket(Socket);

impl BoundSocket {
    /// Binds to `addr`.
    ///
    /// # Errors
    ///
    /// When the address is in use or isn't this machine's.
    pub fn bind(addr: SocketAddr) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit it; without it a kept-alive connection
        // waits 40 ms for the peer's delayed acknowledgement.
        socket.set_tcp_nodelay(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        Ok(Self(socket))
    }

    /// Takes connections from here on; must run on an executor.
    ///
    /// # Errors
    ///
    /// When another process listens on the same address by now.
    pub fn listen(&self) -> std::io::Result<TcpListener> {
        self.0.listen(BACKLOG)?;
        TcpListener::from_std(self.0.try_clone()?.into())
    }
}
