//! Control messages over `nng` PUSH/PULL: one way, never waiting.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam::channel::Sender;
use geranium_spread::{ControlEnvelope, MESSAGE_BYTES_MAX};
use nng::{
    Protocol, Socket,
    options::{
        Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
    },
};

use super::ControlEvent;
use crate::metrics::{MessageDirection, NodeMetrics};
use std::sync::Arc;

/// Messages held for a connection that is being made or is slow. Beyond it
/// they are dropped, and digests repair what was lost.
const SEND_BUFFER: i32 = 64;
/// Messages held when the control thread is busy.
const RECEIVE_BUFFER: i32 = 256;
/// Bounds of the dialers' back-off, so that a herd's return is spread out.
const RECONNECT_MIN: Duration = Duration::from_millis(100);
const RECONNECT_MAX: Duration = Duration::from_secs(4);
/// Idle time after which a connection to a node that isn't a neighbour any
/// more is closed.
const IDLE_MAX: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct OpenLink {
    socket: Socket,
    used: Instant,
}

/// Connections to other nodes' control ports.
#[derive(Debug)]
pub struct ControlLinks {
    links: HashMap<SocketAddr, OpenLink>,
    metrics: Arc<NodeMetrics>,
}

impl ControlLinks {
    /// Starts without a connection.
    pub fn new(metrics: Arc<NodeMetrics>) -> Self {
        Self {
            links: HashMap::new(),
            metrics,
        }
    }

    /// Sends a message, or drops it when the connection isn't ready.
    ///
    /// Returns whether it was taken; a lost one is repaired by digests.
    pub fn send(&mut self, addr: SocketAddr, bytes: &[u8]) -> bool {
        let link = match self.links.entry(addr) {
            Entry::Occupied(open) => open.into_mut(),
            Entry::Vacant(vacant) => {
                let Ok(socket) = dial(addr) else { return false };
                vacant.insert(OpenLink {
                    socket,
                    used: Instant::now(),
                })
            }
        };
        link.used = Instant::now();
        let taken = link.socket.try_send(bytes).is_ok();
        if taken {
            self.metrics.control(MessageDirection::Out, bytes.len());
        }
        taken
    }

    /// Closes connections that nothing was sent on for long.
    pub fn close_idle(&mut self) {
        self.links.retain(|_, link| {
            let keep = link.used.elapsed() < IDLE_MAX;
            if !keep {
                link.socket.close();
            }
            keep
        });
    }
}

fn dial(addr: SocketAddr) -> nng::Result<Socket> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{addr}"))?;
    Ok(socket)
}

/// Listens for control messages and passes them into `ring`.
///
/// # Errors
///
/// When the address can't be listened on.
pub fn listen(
    addr: SocketAddr,
    ring: Sender<ControlEvent>,
    metrics: Arc<NodeMetrics>,
) -> Result<(Socket, JoinHandle<()>), Box<dyn std::error::Error>> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
    socket.listen(&format!("tcp://{addr}"))?;
    let source = socket.clone();
    let thread = thread::Builder::new()
        .name("control-in".to_owned())
        .spawn(move || {
            loop {
                match source.recv() {
                    Ok(message) => take_in(&message, &ring, &metrics),
                    Err(nng::Error::Closed) => return,
                    // A message that broke off or was over the limit.
                    Err(_) => {}
                }
            }
        })?;
    Ok((socket, thread))
}

fn take_in(bytes: &[u8], ring: &Sender<ControlEvent>, metrics: &NodeMetrics) {
    metrics.control(MessageDirection::In, bytes.len());
    // What can't be read is dropped: it comes from another protocol version or
    // isn't from a node at all. A full ring drops too; digests repair.
    if let Ok(envelope) = ControlEnvelope::decode(bytes) {
        let _ = ring.try_send(ControlEvent::Message(Box::new(envelope)));
    }
}
