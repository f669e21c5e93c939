//! An HTTP server that runs on its own thread.

use std::{
    convert::Infallible,
    io::ErrorKind,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

/// Longest time until an address that was in use can be bound.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between tries to bind an address.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// What a handler does with a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// Sends this response.
    Response(Response<Full<Bytes>>),
    /// Closes the connection without a response.
    Hangup,
    /// Stops the whole server: all connections and the listener.
    Crash,
}

/// A server's thread with its own async runtime. Dropping this value stops the thread.
#[derive(Debug)]
pub(crate) struct ServerThread {
    stop: Arc<watch::Sender<bool>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Serves every listener with `handler`, which gets the listener's index.
    ///
    /// # Panics
    ///
    /// Panics if the runtime can't be created.
    pub(crate) fn start<F>(
        listeners: Vec<TcpListener>,
        handler: impl Fn(usize, Request<Incoming>) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let stop = Arc::new(stop);
        let crash = Arc::clone(&stop);
        let handler = Arc::new(handler);
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime can be created");
            runtime.block_on(async move {
                for (listener_index, listener) in listeners.into_iter().enumerate() {
                    let handler = Arc::clone(&handler);
                    let crash = Arc::clone(&crash);
                    tokio::spawn(accept(listener_index, listener, handler, crash));
                }
                let mut stopped = stopped;
                let _stopped = stopped.wait_for(|stopped| *stopped).await;
            });
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl ServerThread {
    /// Whether the thread has stopped, by itself or through [`ServerThread::end`].
    pub(crate) fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Stops the thread, its connections and listeners, and waits until it has stopped.
    pub(crate) fn end(&mut self) {
        let _gone = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _panicked = thread.join();
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.end();
    }
}

/// Opens a listener on `addr`.
///
/// A process that another thread is just starting holds a copy of each open socket until it runs
/// its own program. An address whose listener was closed meanwhile stays in use for that time.
///
/// # Panics
///
/// Panics if the address can't be bound, or is still in use after five seconds.
pub fn bind_listener(addr: SocketAddr) -> TcpListener {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr) {
            Err(cause) if cause.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                thread::sleep(BIND_RETRY_PAUSE);
            }
            bound => return bound.expect("the address can be bound"),
        }
    }
}

/// Opens a listener on `addr`, like [`bind_listener`], for use with an async runtime.
pub(crate) fn listen(addr: SocketAddr) -> TcpListener {
    let listener = bind_listener(addr);
    listener
        .set_nonblocking(true)
        .expect("a listener can be set to nonblocking");
    listener
}

async fn accept<F>(
    listener_index: usize,
    listener: TcpListener,
    handler: Arc<impl Fn(usize, Request<Incoming>) -> F + Send + Sync + 'static>,
    crash: Arc<watch::Sender<bool>>,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("the listener can be registered with the runtime");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let (handler, crash) = (Arc::clone(&handler), Arc::clone(&crash));
        let service = service_fn(move |request| {
            let (handler, crash) = (Arc::clone(&handler), Arc::clone(&crash));
            async move {
                match handler(listener_index, request).await {
                    Reply::Response(response) => Ok::<_, Hangup>(response),
                    Reply::Hangup => Err(Hangup),
                    Reply::Crash => {
                        let _ended = crash.send(true);
                        Err(Hangup)
                    }
                }
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
    }
}

/// Error that makes hyper close a connection without a response.
#[derive(Debug)]
struct Hangup;

impl std::fmt::Display for Hangup {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for Hangup {}

impl From<Infallible> for Hangup {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}
