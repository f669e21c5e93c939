//! Listening sockets without Nagle's algorithm.

use std::{
    io,
    net::{SocketAddr, TcpListener},
};

use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Listens on `address` with `TCP_NODELAY` on every accepted socket.
///
/// `tiny_http` writes head and body apart. Without this option Nagle's
/// algorithm holds the second part until the client's delayed acknowledgement,
/// which shows as 44 ms on kept-alive connections. Accepted sockets inherit
/// the option only when it is set before `listen`.
///
/// # Errors
///
/// Returns the operating system's error when the address can't be taken.
///
/// # Examples
///
/// ```
/// use geranium_standins::backend::nodelay_listener;
///
/// let listener = nodelay_listener(([127, 0, 0, 1], 0).into())?;
/// assert_ne!(listener.local_addr()?.port(), 0);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn nodelay_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
