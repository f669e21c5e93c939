//! Compares the processor time and memory of HTTP servers for pipelined requests.
//!
//! Run it with `cargo run --release -p geranium-node --example pipeline_cost`. It prints, for each
//! server and load, the processor time of the server's thread for a request, and the resident
//! memory of a connection.

use std::{
    cell::RefCell,
    convert::Infallible,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    thread,
    time::Duration,
};

use bytes::Bytes;
use geranium_node::{
    connection_limits::ConnectionLimits,
    pipeline::{FrameScan, RequestReader, serve_pipelined},
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use nix::time::{ClockId, clock_gettime};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    net::{TcpListener, tcp::OwnedWriteHalf},
    sync::{mpsc, watch},
    task::{LocalSet, spawn_local, yield_now},
    time::sleep,
};

const LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_secs(60),
    max_head_bytes: 16_384,
};
/// Connections whose memory is measured.
const CONNECTIONS: usize = 400;
/// Requests of each load whose processor time is measured.
const REQUESTS: usize = 48_000;
/// Rounds of each load. The lowest is printed, as other programs only add to the time.
const ROUNDS: usize = 7;
/// Bytes that an in-memory pipe holds.
const PIPE_BYTES: usize = 64 * 1024;

/// Ways to serve a connection.
#[derive(Debug, Clone, Copy, strum::IntoStaticStr)]
enum ServerKind {
    /// One `hyper` connection on the socket.
    Plain,
    /// Lanes in the connection's task.
    Lanes,
    /// A task for each lane, joined by pipes of tokio.
    Pipes,
}

async fn respond(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    let number = |text: &str| text.parse().unwrap_or(0);
    let mut response = Response::default();
    if path == "/cpu" {
        let used = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock exists");
        let used = used.tv_sec() * 1_000_000_000 + used.tv_nsec();
        *response.body_mut() = Full::from(format!("{used:020}"));
    } else if let Some(millis) = path.strip_prefix("/wait/") {
        sleep(Duration::from_millis(number(millis) as u64)).await;
    } else {
        // Every real request waits for another node.
        yield_now().await;
        let bytes = vec![b'a'; number(path.trim_start_matches('/'))];
        *response.body_mut() = Full::from(bytes);
    }
    Ok(response)
}

async fn serve(kind: ServerKind, stream: tokio::net::TcpStream, closing: watch::Receiver<bool>) {
    match kind {
        ServerKind::Plain => {
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(LIMITS.idle_timeout)
                .max_buf_size(LIMITS.max_head_bytes);
            let served = builder.serve_connection(TokioIo::new(stream), service_fn(respond));
            drop(served.await);
        }
        ServerKind::Lanes => {
            let handler = |request| async { respond(request).await.unwrap_or_default() };
            serve_pipelined(stream, LIMITS, |_| true, || false, handler, None, closing).await;
        }
        ServerKind::Pipes => serve_pipes(stream).await,
    }
}

/// Serves a connection with a task and a pipe for each request that is unanswered at a time.
async fn serve_pipes(stream: tokio::net::TcpStream) {
    let (mut input, output) = stream.into_split();
    let free = Rc::new(RefCell::new(Vec::<DuplexStream>::new()));
    let (order, lanes) = mpsc::unbounded_channel();
    spawn_local(send_responses(lanes, Rc::clone(&free), output));
    let mut reader = RequestReader::new(LIMITS.max_head_bytes);
    let mut bytes = vec![0; 8_192];
    while let Ok(count @ 1..) = input.read(&mut bytes).await {
        reader.push(&bytes[..count]);
        while let FrameScan::Complete(frame) = reader.next_frame() {
            let (request, _) = reader.take_request(frame);
            let lane = free.borrow_mut().pop();
            let mut lane = lane.unwrap_or_else(|| {
                let (near, far) = duplex(PIPE_BYTES);
                let service = service_fn(respond);
                spawn_local(http1::Builder::new().serve_connection(TokioIo::new(far), service));
                near
            });
            if lane.write_all(&request).await.is_err() || order.send(lane).is_err() {
                return;
            }
        }
    }
}

/// Copies one response of each lane to the socket.
async fn send_responses(
    mut lanes: mpsc::UnboundedReceiver<DuplexStream>,
    free: Rc<RefCell<Vec<DuplexStream>>>,
    mut output: OwnedWriteHalf,
) {
    let mut bytes = vec![0; PIPE_BYTES];
    while let Some(mut lane) = lanes.recv().await {
        let (mut left, mut filled) = (None, 0);
        while left != Some(0) {
            let Ok(count @ 1..) = lane.read(&mut bytes[filled..]).await else {
                return;
            };
            filled += count;
            left = left
                .map(|left: usize| left - count)
                .or_else(|| response_bytes(&bytes[..filled]).map(|whole| whole - filled));
            if left.is_some() {
                if output.write_all(&bytes[..filled]).await.is_err() {
                    return;
                }
                filled = 0;
            }
        }
        free.borrow_mut().push(lane);
    }
}

/// Returns the length of a response; none if its head isn't complete.
fn response_bytes(bytes: &[u8]) -> Option<usize> {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    let head = response.parse(bytes).ok()?;
    let mut lines = response.headers.iter();
    let length = lines.find(|line| line.name.eq_ignore_ascii_case("content-length"))?;
    let length: usize = std::str::from_utf8(length.value).ok()?.parse().ok()?;
    head.is_complete().then(|| head.unwrap() + length)
}

/// Starts a server on a thread of its own, which ends with the process.
fn start(kind: ServerKind) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("a runtime starts");
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await;
            let listener = listener.expect("a port is free");
            let addr = listener.local_addr().expect("the listener is bound");
            sender.send(addr).expect("the starter waits");
            let closing = watch::Sender::new(false);
            while let Ok((stream, _)) = listener.accept().await {
                drop(stream.set_nodelay(true));
                spawn_local(serve(kind, stream, closing.subscribe()));
            }
        });
    });
    receiver.recv().expect("the server starts")
}

struct Caller(TcpStream, Vec<u8>);

impl Caller {
    fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("the server listens");
        stream.set_nodelay(true).expect("the option exists");
        Self(stream, Vec::new())
    }

    fn send(&mut self, path: &str, count: usize) {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: till.example\r\nUser-Agent: till/3\r\n\
             Accept: */*\r\nX-Request-Id: 0123456789abcdef\r\nX-Deadline-Ms: 2000\r\n\r\n"
        );
        let requests = request.repeat(count);
        self.0
            .write_all(requests.as_bytes())
            .expect("the server reads");
    }

    /// Reads a response and returns it.
    fn read(&mut self) -> Vec<u8> {
        let mut piece = vec![0; PIPE_BYTES];
        loop {
            if let Some(length) = response_bytes(&self.1).filter(|&length| length <= self.1.len()) {
                return self.1.drain(..length).collect();
            }
            let count = self.0.read(&mut piece).expect("the server sends");
            assert!(count > 0, "the server closed the connection");
            self.1.extend_from_slice(&piece[..count]);
        }
    }

    fn server_nanos(&mut self) -> u64 {
        self.send("/cpu", 1);
        let response = self.read();
        let digits = response.len() - 20;
        let text = std::str::from_utf8(&response[digits..]).expect("the body is text");
        text.parse().expect("the body is a number")
    }
}

/// Returns the processor time of the server for a request, in microseconds.
fn request_micros(addr: SocketAddr, path: &str, depth: usize, requests: usize) -> f64 {
    let mut caller = Caller::connect(addr);
    let begun = caller.server_nanos();
    for _ in 0..requests / depth {
        caller.send(path, depth);
        for _ in 0..depth {
            caller.read();
        }
    }
    let used = caller.server_nanos() - begun;
    used as f64 / 1_000.0 / requests as f64
}

/// Returns the resident memory of the process in kilobytes.
fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Returns the memory of an idle connection after one request, and of one with eight unanswered
/// requests, in kilobytes.
fn connection_kb(addr: SocketAddr) -> (f64, f64) {
    let before = resident_kb();
    let mut callers: Vec<Caller> = (0..CONNECTIONS).map(|_| Caller::connect(addr)).collect();
    for caller in &mut callers {
        caller.send("/100", 1);
        caller.read();
    }
    let idle = resident_kb();
    for caller in &mut callers {
        caller.send("/wait/4000", 8);
    }
    thread::sleep(Duration::from_secs(2));
    let busy = resident_kb();
    let each = |kb: f64| (kb - before) / CONNECTIONS as f64;
    (each(idle), each(busy))
}

fn main() {
    let loads = [
        ("one at a time, 200 bytes", "/200", 1, REQUESTS),
        ("one at a time, 30 kB", "/30000", 1, REQUESTS),
        ("one at a time, 1 MB", "/1000000", 1, REQUESTS / 50),
        ("eight at once, 200 bytes", "/200", 8, REQUESTS),
        ("sixteen at once, 200 bytes", "/200", 16, REQUESTS),
    ];
    let only = std::env::args().nth(1);
    for kind in [ServerKind::Plain, ServerKind::Lanes, ServerKind::Pipes] {
        let name: &str = kind.into();
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let addr = start(kind);
        let (idle, busy) = connection_kb(addr);
        println!("{name}: memory of a connection, kB: idle {idle:.1}, 8 requests {busy:.1}");
        for (load, path, depth, requests) in loads {
            let rounds = (0..ROUNDS).map(|_| request_micros(addr, path, depth, requests));
            let lowest = rounds.fold(f64::INFINITY, f64::min);
            println!("{name}: {load}: {lowest:.2} us");
        }
    }
}
