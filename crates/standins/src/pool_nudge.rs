//! Keeping `tiny_http` from forgetting a connection.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use socket2::{Domain, Protocol, Socket, Type};

/// Nudges for each new client: more than one, so that a burst of which few are
/// served is worked off ever faster.
const NUDGES_EACH: usize = 2;
/// Nudges that may be owed; beyond that the periodic ones do.
const NUDGES_MAX: usize = 1_024;
/// Time between nudges that nobody asked for, in case that all of a burst are
/// left unserved.
const PERIOD: Duration = Duration::from_millis(50);
/// Clients remembered; forgetting them costs a few nudges.
const CLIENTS_MAX: usize = 4_096;
/// A listening socket on the same machine takes a connection at once.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Opens and closes connections to the own server, so that others are served.
///
/// `tiny_http` hands a new connection to an idle thread if it counts one, but
/// counts a thread as idle until it has woken up. Of a burst of connections
/// some are queued for a thread that is taken already, and wait until any
/// connection closes: a request then hangs for as long as the others are kept
/// alive. A connection that closes at once frees a thread, which serves what
/// is queued. It is reset, so that no closed connections pile up.
#[derive(Debug)]
pub(crate) struct PoolNudge {
    owed: (Sender<()>, Receiver<()>),
    clients: Mutex<HashSet<SocketAddr>>,
}

impl PoolNudge {
    pub(crate) fn new() -> Self {
        Self {
            owed: bounded(NUDGES_MAX),
            clients: Mutex::default(),
        }
    }

    /// Takes in that a client was served: where one is new, others may wait.
    pub(crate) fn see(&self, client: Option<&SocketAddr>) {
        let Some(client) = client else {
            return;
        };
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= CLIENTS_MAX {
            clients.clear();
        }
        if clients.insert(*client) {
            for _ in 0..NUDGES_EACH {
                self.owed.0.try_send(()).ok();
            }
        }
    }

    /// Nudges the server at `address` until told to stop.
    pub(crate) fn run(&self, address: SocketAddr, stopping: &AtomicBool) {
        while !stopping.load(Ordering::SeqCst) {
            self.owed.1.recv_timeout(PERIOD).ok();
            nudge(address).ok();
        }
    }
}

fn nudge(address: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)
}
