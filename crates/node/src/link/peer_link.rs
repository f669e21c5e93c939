//! The connection to one other node.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crossbeam::queue::ArrayQueue;
use nng::{
    Message, PipeEvent, Protocol, Socket,
    options::{
        Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize, protocol::reqrep::ResendTime,
    },
};
use tokio::sync::oneshot;

use super::{LinkError, exchange::Exchange};

/// Questions under way on one link. More would wait beside a backend server
/// whose queue is far shorter.
const EXCHANGES_MAX: usize = 256;
/// Wait for a first connection: within a region one takes about 1 ms; a lost
/// SYN would be sent again after a second, which is too late for a counter.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Wait for a connection that was up and broke: long enough for a turn of the
/// dialer, short enough to try another node.
const BROKEN_CONNECT_TIMEOUT: Duration = Duration::from_millis(5);
/// Wait for an open connection that is busy with another question's bytes.
const BUSY_TIMEOUT: Duration = Duration::from_millis(500);
/// Bounds of the dialer's back-off: a herd that returns is met by dialers that
/// come back at different times.
const RECONNECT_MIN: Duration = Duration::from_millis(50);
const RECONNECT_MAX: Duration = Duration::from_secs(2);
/// Largest answer accepted: a part of a body and its head.
pub(crate) const MESSAGE_BYTES_MAX: usize = 8 * 1_048_576;

/// A REQ socket with one dialer, shared by many exchanges.
///
/// Resending is off: a REQ socket resends by itself when its peer dies after
/// taking a question, and the order would run in the next process too. With it
/// off the asker is told that the connection broke, and decides.
#[derive(Debug)]
pub struct PeerLink {
    socket: Socket,
    exchanges: Vec<OnceLock<Exchange>>,
    made: AtomicUsize,
    free: Arc<ArrayQueue<usize>>,
    connected: Arc<AtomicBool>,
    was_connected: Arc<AtomicBool>,
}

impl PeerLink {
    /// Starts to connect to `addr`.
    ///
    /// # Errors
    ///
    /// When the socket can't be made, as out of file descriptors.
    pub fn dial(addr: SocketAddr) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
        let connected = Arc::new(AtomicBool::new(false));
        let was_connected = Arc::new(AtomicBool::new(false));
        let (now, once) = (Arc::clone(&connected), Arc::clone(&was_connected));
        socket.pipe_notify(move |_pipe, event| match event {
            PipeEvent::AddPost => {
                now.store(true, Ordering::Relaxed);
                once.store(true, Ordering::Relaxed);
            }
            PipeEvent::RemovePost => now.store(false, Ordering::Relaxed),
            _ => {}
        })?;
        socket.dial_async(&format!("tcp://{addr}"))?;
        Ok(Self {
            socket,
            exchanges: (0..EXCHANGES_MAX).map(|_| OnceLock::new()).collect(),
            made: AtomicUsize::new(0),
            free: Arc::new(ArrayQueue::new(EXCHANGES_MAX)),
            connected,
            was_connected,
        })
    }

    /// Sends `question`; the receiver resolves with the answer.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] at once when too many exchanges are under way.
    pub fn ask(
        &self,
        question: &[u8],
        deadline: Instant,
    ) -> Result<oneshot::Receiver<Result<Message, LinkError>>, LinkError> {
        let exchange = self.take_exchange().ok_or(LinkError::NotSent)?;
        let (sender, receiver) = oneshot::channel();
        let (index, exchange) = exchange;
        exchange
            .start(question, self.connect_timeout(), deadline, sender)
            .inspect_err(|_error| {
                let _ = self.free.push(index);
            })?;
        Ok(receiver)
    }

    fn connect_timeout(&self) -> Duration {
        if self.connected.load(Ordering::Relaxed) {
            BUSY_TIMEOUT
        } else if self.was_connected.load(Ordering::Relaxed) {
            BROKEN_CONNECT_TIMEOUT
        } else {
            FIRST_CONNECT_TIMEOUT
        }
    }

    fn take_exchange(&self) -> Option<(usize, &Exchange)> {
        if let Some(index) = self.free.pop() {
            return Some((index, self.exchanges[index].get()?));
        }
        let index = self.made.fetch_add(1, Ordering::Relaxed);
        let Some(slot) = self.exchanges.get(index) else {
            self.made.fetch_sub(1, Ordering::Relaxed);
            return None;
        };
        let exchange = Exchange::new(&self.socket, index, Arc::downgrade(&self.free)).ok()?;
        Some((index, slot.get_or_init(|| exchange)))
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        for exchange in self.exchanges.iter().filter_map(OnceLock::get) {
            exchange.close();
        }
        self.socket.close();
    }
}
