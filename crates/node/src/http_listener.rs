//! HTTP servers on the node's ports.

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
    time::{sleep, timeout},
};

use crate::{node_core::NodeCore, response_body::ResponseBody, transport::tune_socket};

/// Connections that may wait to be accepted: a burst of a second's new callers
/// at twenty times today's rate. Beyond it the kernel drops opening packets,
/// which come again after a second.
const BACKLOG: u32 = 1_024;
/// Smallest read buffer that the HTTP library takes.
const BUFFER_MIN: usize = 8_192;
/// Time without a further connection after which a closing port is shut: what
/// waits in the kernel is there at once.
const LAST_ACCEPT: Duration = Duration::from_millis(3);
/// Pause after a connection couldn't be accepted: descriptors have run out,
/// and some are given back within milliseconds.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time that a new connection has for its first request while the node closes:
/// two round trips to distant callers, and as much again for a busy machine.
const FIRST_REQUEST: Duration = Duration::from_millis(100);

/// A port that can't be opened.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {addr}: {source}"))]
pub struct BindError {
    addr: SocketAddr,
    source: std::io::Error,
}

/// Limits of a port.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Longest time that a connection may stay idle or a head may take.
    pub idle_time: Duration,
    /// Most bytes of a head.
    pub head_bytes: usize,
}

/// Opens a port.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind_listener(addr: SocketAddr) -> Result<TcpListener, BindError> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    listen().context(BindSnafu { addr })
}

/// Answers every request that comes to a port with what `answer` makes of it.
///
/// `limits` is asked for each connection, as configurations change.
///
/// When a process ends while a connection waits to be accepted, or a request is on its
/// way on an idle one, the caller is reset though it could have been told to come back.
/// So once the node closes, what waits is accepted, then the port is shut; idle
/// connections that bring nothing are closed and the others end with their next answer. A
/// connection that is too new to have brought its first request gets a moment for it. The
/// port counts as a connection until then, so the process waits for it.
pub async fn serve_listener<F>(
    core: Rc<NodeCore>,
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let mut closing = core.closing.subscribe();
    let _port_mark = core.connection_guard();
    let serve = |stream: TcpStream| {
        tune_socket(&stream);
        let closing = core.closing.subscribe();
        let guard = core.connection_guard();
        let connection = serve_connection(stream, limits(), answer.clone(), closing);
        tokio::task::spawn_local(async move {
            connection.await;
            drop(guard);
        });
    };
    loop {
        let accepted = select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => {
                match timeout(LAST_ACCEPT, listener.accept()).await {
                    Ok(accepted) => accepted,
                    Err(_nobody_waits) => break,
                }
            }
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(cause) => {
                warn!(core.log.logger(), "connection not accepted"; "cause" => %cause);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    last_connections(listener).for_each(serve);
}

/// Yields what the kernel has taken for a port since it was last asked, and
/// shuts the port: what comes between the two is reset, so nothing else is done
/// there.
fn last_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
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
    answer: impl Fn(Request<Incoming>) -> F,
    mut closing: watch::Receiver<bool>,
) where
    F: Future<Output = Response<ResponseBody>>,
{
    let asked = Rc::new(Notify::new());
    let service = service_fn({
        let asked = Rc::clone(&asked);
        move |request| {
            asked.notify_one();
            let answer = answer(request);
            async move { Ok::<_, Infallible>(answer.await) }
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(limits.head_bytes.max(BUFFER_MIN));
    // A caller that leaves or breaks off is no fault of the node's; what it
    // means for a request shows where the request is dropped.
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    select! {
        biased;
        ended = &mut connection => return drop(ended),
        _ = closing.wait_for(|closing| *closing) => {}
    }
    // An earlier request has left its notice, so only a connection that has
    // brought none waits here.
    select! {
        biased;
        ended = &mut connection => return drop(ended),
        _ = timeout(FIRST_REQUEST, asked.notified()) => {}
    }
    connection.as_mut().graceful_shutdown();
    drop(connection.await);
}
