//! HTTP servers on the node's listeners.

use std::{convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    select,
    sync::{Notify, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    connection_limits::{BUFFER_MIN_BYTES, ConnectionLimits, FIRST_REQUEST_TIMEOUT},
    connections::ConnectionSlots,
    node_core::NodeCore,
    pipeline::{RequestTarget, serve_pipelined},
    response_body::ResponseBody,
    transport::tune_socket,
};

/// Largest number of connections that may wait to be accepted: a second's new callers at
/// twenty times the usual rate. Beyond it the kernel drops SYN packets, which clients send
/// again after a second.
const BACKLOG: u32 = 1_024;
/// Time without a further connection after which a closing listener is shut.
/// Connections that wait in the kernel are accepted at once.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(3);
/// Longest time from the start of the close until a listener is shut, however many connections
/// arrive. Connections that wait in the kernel then are accepted first.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause after a connection couldn't be accepted. File descriptors have run out
/// then, and some are released within milliseconds.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Failure to listen on an address.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {addr}: {source}"))]
pub struct BindError {
    addr: SocketAddr,
    source: std::io::Error,
}

/// Opens a listener on an address.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn bind_listener(addr: SocketAddr) -> Result<TcpListener, BindError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    listen().context(BindSnafu { addr })
}

/// Serves every request on a listener with `handler`, until the node closes.
///
/// `limits` is called for each connection, as configurations change.
///
/// If the process ended while a connection waits to be accepted, or while a request
/// arrives on an idle one, the caller's connection would be reset, although the node
/// could have told the caller to retry. So once the node closes, waiting connections are
/// accepted, then the listener is shut. Idle connections without a new request are closed,
/// and the others end with their next response. A connection that hasn't brought its first
/// request yet gets 100 ms for it. The listener counts as a connection until then, so the
/// process waits for it.
pub async fn serve_listener<F>(
    core: Rc<NodeCore>,
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let serve =
        |stream, closing| Some(serve_connection(stream, limits(), handler.clone(), closing));
    serve_connections(core, listener, serve).await;
}

/// Serves every request on a listener with `handler`, until the node closes.
///
/// Like [`serve_listener`], but idle connections hold no buffers, and a request may begin while
/// earlier ones on its connection are unanswered, if `may_begin_early` returns true. Connections are
/// closed as soon as their responses allow while `is_draining` returns true. If `slots` are given, a
/// connection that gets none is closed at once; the body that has stood still for the longest time is
/// refused for it when no connection is idle.
pub async fn serve_pipelined_listener<F>(
    core: Rc<NodeCore>,
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    may_begin_early: impl Fn(&RequestTarget) -> bool + Clone + 'static,
    is_draining: impl Fn() -> bool + Clone + 'static,
    slots: Option<ConnectionSlots>,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let memory = core.body_memory.clone();
    let serve = |stream, closing| {
        let slot = match &slots {
            Some(slots) => Some(slots.admit(|| memory.evict_longest_stalled())?),
            None => None,
        };
        let (may_begin_early, handler) = (may_begin_early.clone(), handler.clone());
        let is_draining = is_draining.clone();
        Some(serve_pipelined(
            stream,
            limits(),
            may_begin_early,
            is_draining,
            handler,
            slot,
            closing,
        ))
    };
    serve_connections(core, listener, serve).await;
}

/// Accepts connections until the node closes, and serves each with `serve` in a task. A connection
/// for which `serve` returns none is closed.
async fn serve_connections<F: Future<Output = ()> + 'static>(
    core: Rc<NodeCore>,
    listener: TcpListener,
    serve: impl Fn(TcpStream, watch::Receiver<bool>) -> Option<F>,
) {
    let mut closing = core.closing.subscribe();
    let _listener_guard = core.listener_guard();
    let serve = |stream: TcpStream| {
        tune_socket(&stream);
        let guard = core.connection_guard();
        let Some(connection) = serve(stream, core.closing.subscribe()) else {
            if let Some(log) = core.log.for_request(core.clock.now(), "connection refused") {
                warn!(log, "connection refused"; "cause" => "too many are open");
            }
            return;
        };
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    };
    let serve_accepted = async |accepted: std::io::Result<(TcpStream, SocketAddr)>| match accepted {
        Ok((stream, _)) => serve(stream),
        Err(cause) => {
            warn!(core.log.logger(), "connection not accepted"; "cause" => %cause);
            sleep(ACCEPT_PAUSE).await;
        }
    };
    loop {
        select! {
            biased;
            _ = closing.wait_for(|closing| *closing) => break,
            accepted = listener.accept() => serve_accepted(accepted).await,
        }
    }
    let shut_at = Instant::now() + LISTENER_CLOSE_TIMEOUT;
    while Instant::now() < shut_at
        && let Ok(accepted) = timeout(LAST_ACCEPT_TIMEOUT, listener.accept()).await
    {
        serve_accepted(accepted).await;
    }
    drain_backlog(listener).for_each(serve);
}

/// Yields the connections that wait in the kernel's backlog, then shuts the listener.
///
/// Connections that arrive between the last accept and the shutdown are reset, so
/// nothing else is done in between.
fn drain_backlog(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    let listener = listener.into_std().ok();
    let accept = move || {
        let (stream, _) = listener.as_ref()?.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    };
    std::iter::from_fn(accept)
}

async fn serve_connection<F>(
    stream: TcpStream,
    limits: ConnectionLimits,
    handler: impl Fn(Request<Incoming>) -> F,
    mut closing: watch::Receiver<bool>,
) where
    F: Future<Output = Response<ResponseBody>>,
{
    let request_seen = Rc::new(Notify::new());
    let service = service_fn({
        let request_seen = Rc::clone(&request_seen);
        move |request| {
            request_seen.notify_one();
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(BUFFER_MIN_BYTES));
    // A connection that the caller closes or breaks is no fault of the node. Its
    // effect on a request is handled where the request is dropped.
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    select! {
        biased;
        ended = &mut connection => return drop(ended),
        _ = closing.wait_for(|closing| *closing) => {}
    }
    // `Notify` stores the notification of an earlier request, so only a connection
    // that has brought no request waits here.
    select! {
        biased;
        ended = &mut connection => return drop(ended),
        _ = timeout(FIRST_REQUEST_TIMEOUT, request_seen.notified()) => {}
    }
    connection.as_mut().graceful_shutdown();
    drop(connection.await);
}
