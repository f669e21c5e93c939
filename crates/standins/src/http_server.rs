//! HTTP servers on a thread of their own.

use std::{
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

/// What becomes of a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An answer.
    Answer(Response<Full<Bytes>>),
    /// The connection is closed without one.
    Hangup,
    /// The server ends, with all its connections and its port.
    Crash,
}

/// A thread with an executor that ends when dropped.
#[derive(Debug)]
pub(crate) struct ServerThread {
    stop: Arc<watch::Sender<bool>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Serves every listener with `answer`, which is told the listener's
    /// number.
    ///
    /// # Panics
    ///
    /// Panics when the thread or its executor can't be made.
    pub(crate) fn start<F>(
        listeners: Vec<TcpListener>,
        answer: impl Fn(usize, Request<Incoming>) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let stop = Arc::new(stop);
        let crash = Arc::clone(&stop);
        let answer = Arc::new(answer);
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("an executor can be made");
            runtime.block_on(async move {
                for (number, listener) in listeners.into_iter().enumerate() {
                    let answer = Arc::clone(&answer);
                    let crash = Arc::clone(&crash);
                    tokio::spawn(accept(number, listener, answer, crash));
                }
                let mut stopped = stopped;
                let _closed = stopped.wait_for(|stopped| *stopped).await;
            });
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl ServerThread {
    /// Whether the thread has ended by itself.
    pub(crate) fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Ends the thread, with all its connections and listeners, and waits for its end.
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
/// # Panics
///
/// Panics when the address is taken.
pub(crate) fn listen(addr: SocketAddr) -> TcpListener {
    let listener = TcpListener::bind(addr).expect("the address is free");
    listener
        .set_nonblocking(true)
        .expect("a listener can be made nonblocking");
    listener
}

async fn accept<F>(
    number: usize,
    listener: TcpListener,
    answer: Arc<impl Fn(usize, Request<Incoming>) -> F + Send + Sync + 'static>,
    crash: Arc<watch::Sender<bool>>,
) where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is sound");
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let (answer, crash) = (Arc::clone(&answer), Arc::clone(&crash));
        let service = service_fn(move |request| {
            let (answer, crash) = (Arc::clone(&answer), Arc::clone(&crash));
            async move {
                match answer(number, request).await {
                    Reply::Answer(response) => Ok::<_, Hangup>(response),
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

/// Ends a connection without an answer.
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
