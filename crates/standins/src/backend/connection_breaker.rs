//! Closing a client's connection under `tiny_http`.

use std::{fs, net::Shutdown, net::SocketAddr, os::fd::BorrowedFd};

use socket2::SockRef;

/// Closes this process's connection with `peer`.
///
/// `tiny_http` hands out no sockets and keeps a connection open after an
/// answer that broke off: the client would wait for the rest for good. So the
/// socket is looked up among the process's descriptors by its peer.
pub(super) fn break_connection(peer: SocketAddr) {
    let Ok(entries) = fs::read_dir("/proc/self/fd") else {
        return;
    };
    let descriptors = entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    for descriptor in descriptors.collect::<Vec<i32>>() {
        // SAFETY: the number was open a moment ago. When another thread closes
        // it meanwhile, the calls below fail or see another socket, whose peer
        // differs; nothing is read, written or closed through it.
        let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
        let socket = SockRef::from(&borrowed);
        let found = socket
            .peer_addr()
            .ok()
            .and_then(|address| address.as_socket());
        if found == Some(peer) {
            socket.shutdown(Shutdown::Both).ok();
        }
    }
}
