//! A TCP proxy between two processes that can inject link faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use snafu::ResultExt;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

use crate::{LinkFault, RigError, rig_error::LinkSnafu};

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy on loopback that forwards bytes as its fault allows.
///
/// Muted connections lose all further bytes, while new connections work. Client and
/// server notice this only by a timeout of their own.
#[derive(Debug)]
pub struct LinkProxy {
    addr: SocketAddr,
    shared: Arc<LinkShared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct LinkShared {
    fault: watch::Sender<LinkFault>,
    /// Number of connections that have been accepted; the next one gets it as its number.
    opened: AtomicU64,
    /// Connections with a lower number are muted.
    muted: AtomicU64,
}

/// Direction of bytes, as seen from the client: towards or from the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Towards,
    From,
}

impl LinkProxy {
    /// Opens a link from `addr` to the listener at `target`.
    ///
    /// # Errors
    ///
    /// [`RigError::Link`] if the address can't be bound.
    pub fn open(addr: SocketAddr, target: SocketAddr) -> Result<Self, RigError> {
        let listen = || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(addr)?;
            socket.listen(512)
        };
        let listener = listen().context(LinkSnafu)?;
        let addr = listener.local_addr().context(LinkSnafu)?;
        let shared = Arc::new(LinkShared {
            fault: watch::Sender::new(LinkFault::Sound),
            opened: AtomicU64::new(0),
            muted: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, target, Arc::clone(&shared)));
        Ok(Self { addr, shared, task })
    }

    /// Returns the address on which the proxy listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        self.shared.fault.send_replace(fault);
    }

    /// Mutes every open connection for good.
    pub fn mute_open(&self) {
        let opened = self.shared.opened.load(Ordering::Relaxed);
        self.shared.muted.store(opened, Ordering::Relaxed);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<LinkShared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let connection_number = shared.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(forward_connection(
            stream,
            target,
            connection_number,
            Arc::clone(&shared),
        ));
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    connection_number: u64,
    shared: Arc<LinkShared>,
) {
    let mut fault = shared.fault.subscribe();
    let fault_now = *fault.borrow_and_update();
    if fault_now == LinkFault::Reset {
        return make_reset(&client);
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return make_reset(&client);
    };
    let _best_effort = (client.set_nodelay(true), server.set_nodelay(true));
    let handles = [
        SockRef::from(&client).try_clone(),
        SockRef::from(&server).try_clone(),
    ];
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let towards_server = forward_bytes(
        client_in,
        server_out,
        Direction::Towards,
        connection_number,
        &shared,
    );
    let from_server = forward_bytes(
        server_in,
        client_out,
        Direction::From,
        connection_number,
        &shared,
    );
    let reset = fault.wait_for(|fault| *fault == LinkFault::Reset);
    tokio::select! {
        _ = async { tokio::join!(towards_server, from_server) } => {}
        _ = reset => {
            for handle in handles.iter().flatten() {
                make_reset(handle);
            }
        }
    }
}

/// Forwards bytes in one direction until one end closes.
async fn forward_bytes(
    mut input: OwnedReadHalf,
    mut output: OwnedWriteHalf,
    direction: Direction,
    connection_number: u64,
    shared: &LinkShared,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = input.read(&mut buffer).await {
        let fault = *shared.fault.borrow();
        let muted = connection_number < shared.muted.load(Ordering::Relaxed);
        let lost = match fault {
            LinkFault::Cut => true,
            LinkFault::CutTowards => direction == Direction::Towards,
            LinkFault::CutFrom => direction == Direction::From,
            _ => muted,
        };
        if lost {
            continue;
        }
        if let LinkFault::Delay(time) = fault {
            sleep(time).await;
        }
        if output.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _closed = output.shutdown().await;
}

/// Makes the socket send a reset when it closes.
fn make_reset<'a>(socket: impl Into<SockRef<'a>>) {
    let _best_effort = socket.into().set_linger(Some(Duration::ZERO));
}
