//! The listening port and the connections on it.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use geranium_model::ResultCode;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::LocalSet,
};

use super::{caller_body::BodyLimits, front_state::FrontState, request_flow};

/// Connections that may wait to be accepted: a herd of tills reconnecting.
const BACKLOG: i32 = 1_024;
/// Answer on a connection over the limit, written without reading a request:
/// reading one is what the limit protects from.
const OVER_LIMIT_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-outcome: not-run\r\nx-result-code: 109\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";
/// Pause after a failed accept, as when file descriptors run out: without it
/// the loop would turn without end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How often changes are taken in when no request comes.
const ABSORB_PERIOD: Duration = Duration::from_millis(20);

/// How often a stopping port looks whether its connections have ended.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Limits of the port.
#[derive(Debug, Clone, Copy)]
pub struct CallersParts {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Most connections open at a time.
    pub connections_max: usize,
    /// Largest head in bytes.
    pub head_bytes_max: usize,
    /// Time for a head to arrive, also on an idle connection.
    pub head_timeout: Duration,
    /// Time without progress after which a caller that doesn't read is left.
    pub stall_timeout: Duration,
    /// Largest request body in bytes.
    pub body_bytes_max: usize,
}

/// A running callers' port.
#[derive(Debug)]
pub struct CallersPort {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl CallersPort {
    /// Listens and starts the thread; `make_state` runs on that thread.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn start(
        parts: CallersParts,
        make_state: impl FnOnce() -> FrontState + Send + 'static,
    ) -> std::io::Result<Self> {
        let listener = listen(parts.addr)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                let state = Rc::new(make_state());
                local.block_on(&runtime, serve(parts, listener, state, stopped));
            })?;
        Ok(Self { stop, thread })
    }

    /// Takes no new connection and waits for those open to end their request.
    ///
    /// Returns whether all ended before `give_up`.
    pub fn stop(self, give_up: Instant) -> bool {
        let _ = self.stop.send(true);
        while !self.thread.is_finished() && Instant::now() < give_up {
            thread::sleep(STOP_POLL);
        }
        self.thread.is_finished()
    }
}

fn listen(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Accepted connections inherit it; without it a kept-alive connection
    // waits 40 ms for the peer's delayed acknowledgement.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

async fn serve(
    parts: CallersParts,
    listener: std::net::TcpListener,
    state: Rc<FrontState>,
    mut stopped: watch::Receiver<bool>,
) {
    let listener =
        TcpListener::from_std(listener).expect("the listener was made non-blocking above");
    let open = Rc::new(Cell::new(0_usize));
    let absorbing = tokio::task::spawn_local(absorb(Rc::clone(&state)));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= parts.connections_max {
            state
                .metrics
                .connection_fault(ResultCode::TooManyConnections);
            refuse(stream);
            continue;
        }
        let connection = Connection {
            parts,
            state: Rc::clone(&state),
            open: OpenCount::new(&open),
            stopped: stopped.clone(),
        };
        tokio::task::spawn_local(connection.run(stream, peer));
    }
    drop(listener);
    while open.get() > 0 {
        tokio::time::sleep(ABSORB_PERIOD).await;
    }
    absorbing.abort();
}

async fn absorb(state: Rc<FrontState>) {
    loop {
        state.absorb_events();
        tokio::time::sleep(ABSORB_PERIOD).await;
    }
}

fn refuse(mut stream: TcpStream) {
    tokio::task::spawn_local(async move {
        let written = stream.write_all(OVER_LIMIT_ANSWER);
        // A caller that doesn't read may not hold the connection either.
        let _ = tokio::time::timeout(ACCEPT_PAUSE, written).await;
    });
}

/// Counts one open connection for as long as it lives.
#[derive(Debug)]
struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Connection {
    parts: CallersParts,
    state: Rc<FrontState>,
    open: OpenCount,
    stopped: watch::Receiver<bool>,
}

impl Connection {
    async fn run(mut self, stream: TcpStream, peer: SocketAddr) {
        // A caller that takes no bytes of its answer would hold the connection
        // and its place for good: nothing else times a write out. The system
        // ends a connection whose bytes stay unacknowledged this long.
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(self.parts.stall_timeout));
        let limits = BodyLimits {
            bytes_max: self.parts.body_bytes_max,
            timeout: self.parts.head_timeout,
        };
        let state = Rc::clone(&self.state);
        let handler = service_fn(move |request: hyper::Request<Incoming>| {
            let state = Rc::clone(&state);
            async move {
                let response = request_flow::answer(state, limits, request, peer).await;
                Ok::<_, std::convert::Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.parts.head_timeout)
            .max_buf_size(self.parts.head_bytes_max)
            .serve_connection(TokioIo::new(stream), handler);
        let mut connection = std::pin::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            _ = self.stopped.changed() => {
                // The request in flight gets its whole answer first.
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Some(code) = ended.err().as_ref().and_then(fault_code) {
            self.state.metrics.connection_fault(code);
        }
        drop(self.open);
    }
}

/// Code of a connection that a caller spoiled. `hyper` has answered it with
/// 400, 408 or 431 by itself; only the count is made here.
fn fault_code(error: &hyper::Error) -> Option<ResultCode> {
    if error.is_parse_too_large() {
        Some(ResultCode::HeadTooLarge)
    } else if error.is_parse() {
        Some(ResultCode::BadRequest)
    } else if error.is_timeout() {
        Some(ResultCode::RequestTimeout)
    } else {
        None
    }
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection")
            .field("parts", &self.parts)
            .finish_non_exhaustive()
    }
}
