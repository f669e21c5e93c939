//! A server of pipelined requests in memory, and its callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use geranium_node::{
    connection_limits::ConnectionLimits,
    pipeline::{RequestTarget, serve_pipelined},
};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    sync::{Notify, watch},
    task::{JoinHandle, spawn_local, yield_now},
    time::sleep,
};

/// Bytes of each frame of a long body, about as many as a short response has at most.
pub const FRAME_BYTES: usize = 30_000;
/// Bytes that the kernel would hold in each direction of a connection.
const SOCKET_BYTES: usize = 64 * 1024;
/// Limits of the test connections.
pub const LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_secs(15),
    max_head_bytes: 8_192,
};

/// Body of drawn length whose frames are made when they are read.
#[derive(Debug)]
pub struct DrawnBody {
    left: usize,
    is_sized: bool,
    breaks: bool,
    read: Rc<Cell<usize>>,
}

impl Body for DrawnBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if self.left == 0 {
            let broken = std::io::ErrorKind::ConnectionReset.into();
            return Poll::Ready(self.breaks.then_some(Err(broken)));
        }
        let bytes = self.left.min(FRAME_BYTES);
        self.left -= bytes;
        self.read.set(self.read.get() + bytes);
        Poll::Ready(Some(Ok(Frame::data(vec![b'a'; bytes].into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_sized && self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_sized {
            SizeHint::with_exact(self.left as u64)
        } else {
            SizeHint::default()
        }
    }
}

/// Server whose requests say in their path how they are served:
///
/// - `/gate/ID` waits until [`TestServer::open`] names the path.
/// - `/slow/MS` takes as many milliseconds.
/// - `/sized/BYTES`, `/long/BYTES` and `/broken/BYTES` respond with a long body: of known length,
///   chunked, or chunked without its end.
/// - `/close/ID` closes the connection after its response.
///
/// Paths that begin with `/once` may not begin early.
#[derive(Debug, Clone, Default)]
pub struct TestServer {
    /// Method and path of each request that began.
    pub begun: Rc<RefCell<Vec<String>>>,
    /// Paths of the requests that were dropped before their response.
    pub cancelled: Rc<RefCell<Vec<String>>>,
    /// Bytes that were read from long bodies.
    pub read: Rc<Cell<usize>>,
    opened: Rc<RefCell<HashSet<String>>>,
    gate_moved: Rc<Notify>,
    closing: watch::Sender<bool>,
}

struct RunGuard(Option<String>, Rc<RefCell<Vec<String>>>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.1.borrow_mut().extend(self.0.take());
    }
}

/// Returns whether a request may begin early.
pub fn may_begin_early(target: &RequestTarget) -> bool {
    !target.uri.path().starts_with("/once")
}

impl TestServer {
    /// Opens a connection to the server.
    pub fn connect(&self) -> (DuplexStream, JoinHandle<()>) {
        let (caller, socket) = duplex(SOCKET_BYTES);
        let server = self.clone();
        let handler = move |request| server.clone().serve(request);
        let closing = self.closing.subscribe();
        let connection = serve_pipelined(
            socket,
            LIMITS,
            may_begin_early,
            || false,
            handler,
            None,
            closing,
        );
        (caller, spawn_local(connection))
    }

    /// Opens a connection to a server without pipelining.
    pub fn connect_plain(&self) -> DuplexStream {
        let (caller, socket) = duplex(SOCKET_BYTES);
        let server = self.clone();
        let service = service_fn(move |request| {
            let response = server.clone().serve(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(LIMITS.idle_timeout)
            .max_buf_size(LIMITS.max_head_bytes);
        spawn_local(builder.serve_connection(TokioIo::new(socket), service));
        caller
    }

    /// Lets the request with this path go on.
    pub fn open(&self, path: &str) {
        self.opened.borrow_mut().insert(path.to_owned());
        self.gate_moved.notify_waiters();
    }

    /// Tells all connections that the node closes.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns the requests that have begun once all tasks wait.
    pub async fn settled(&self) -> Vec<String> {
        for _ in 0..200 {
            yield_now().await;
        }
        self.begun.borrow().clone()
    }

    async fn serve(self, request: Request<Incoming>) -> Response<DrawnBody> {
        let path = request.uri().path().to_owned();
        let begun = format!("{} {path}", request.method());
        self.begun.borrow_mut().push(begun);
        let mut guard = RunGuard(Some(path.clone()), Rc::clone(&self.cancelled));
        let received = request.into_body().collect().await;
        let number = || path.rsplit('/').next().and_then(|text| text.parse().ok());
        let number: usize = number().unwrap_or(0);
        if path.contains("/gate/") {
            while !self.opened.borrow().contains(&path) {
                self.gate_moved.notified().await;
            }
        } else if path.contains("/slow/") {
            sleep(Duration::from_millis(number as u64)).await;
        }
        let is_long = ["sized", "long", "broken"].map(|kind| path.contains(kind));
        let body = DrawnBody {
            left: if is_long.contains(&true) { number } else { 0 },
            is_sized: !is_long[1] && !is_long[2],
            breaks: is_long[2],
            read: Rc::clone(&self.read),
        };
        let mut response = Response::new(body);
        let bytes = received.map_or(usize::MAX, |body| body.to_bytes().len());
        if bytes == usize::MAX {
            *response.status_mut() = StatusCode::BAD_REQUEST;
        }
        let headers = response.headers_mut();
        let id = path.parse().expect("paths are valid in headers");
        headers.insert("request-path", id);
        headers.insert("body-bytes", bytes.into());
        if path.contains("/close/") {
            headers.insert("connection", http::HeaderValue::from_static("close"));
        }
        guard.0 = None;
        response
    }
}

/// Returns a request without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: till\r\n\r\n")
}

/// Sends text, which the server has to read.
pub async fn send(caller: &mut DuplexStream, text: &str) {
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("the server reads");
}

/// Reads until the server closes the connection, and removes the dates.
pub async fn read_all(caller: &mut DuplexStream) -> String {
    let mut received = Vec::new();
    let _broken = caller.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received).into_owned();
    let mut parts = text.split("date: ");
    let first = parts.next().unwrap_or_default().to_owned();
    parts.fold(first, |text, part| {
        text + part.split_once("\r\n").map_or("", |(_, rest)| rest)
    })
}

/// Returns the paths named by the responses, in their order.
pub fn paths(responses: &str) -> Vec<&str> {
    let lines = responses.lines();
    lines
        .filter_map(|line| line.strip_prefix("request-path: "))
        .collect()
}
