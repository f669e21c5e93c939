//! The server's threads.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use snafu::{ResultExt, Whatever};
use tiny_http::Server;

use super::{
    Announcement, BackendOptions, RunRecord, backend_state::BackendState, nodelay_listener,
    request_serving::serve,
};

/// Workers beyond the slots, which refuse and answer questions when all slots
/// are in use.
const SPARE_WORKERS: usize = 4;
/// Time between heartbeats to the node.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time between tries while the node hasn't taken an announcement.
const HEARTBEAT_RETRY: Duration = Duration::from_millis(100);
/// A drained server stays this long after its last run, so that its node has
/// read the last answer.
const DRAIN_LINGER: Duration = Duration::from_millis(300);

/// A stand-in backend server that is listening.
///
/// Dropping it stops it at once; [`BackendServer::drain`] finishes what runs.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    state: Arc<BackendState>,
    stopping: Arc<AtomicBool>,
    server: ServerHandle,
    workers: Vec<JoinHandle<()>>,
}

struct ServerHandle(Arc<Server>);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("ServerHandle")
            .field(&self.0.server_addr())
            .finish()
    }
}

impl BackendServer {
    /// Listens, starts the workers and the heartbeat.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken or the journal can't be
    /// opened.
    ///
    /// # Examples
    ///
    /// ```
    /// use clap::Parser;
    /// use geranium_standins::backend::{BackendOptions, BackendServer};
    ///
    /// let arguments = ["backend", "--service", "prices", "--instance", "prices-1"];
    /// let server = BackendServer::start(BackendOptions::parse_from(arguments))?;
    /// assert!(server.records().is_empty());
    /// # Ok::<(), snafu::Whatever>(())
    /// ```
    pub fn start(options: BackendOptions) -> Result<Self, Whatever> {
        let listen = options.listen;
        let listener =
            nodelay_listener(listen).with_whatever_context(|_| format!("listening on {listen}"))?;
        let address = listener
            .local_addr()
            .whatever_context("reading the own address")?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other);
        let server = Arc::new(server.whatever_context("starting the HTTP server")?);
        let state = Arc::new(BackendState::open(options).whatever_context("opening the journal")?);
        let stopping = Arc::new(AtomicBool::new(false));
        let mut workers: Vec<_> = (0..usize::from(state.options.slots) + SPARE_WORKERS)
            .map(|_| {
                let (server, state) = (Arc::clone(&server), Arc::clone(&state));
                let stopping = Arc::clone(&stopping);
                thread::spawn(move || serve_all(&server, &state, &stopping))
            })
            .collect();
        workers.push({
            let (state, stopping) = (Arc::clone(&state), Arc::clone(&stopping));
            thread::spawn(move || state.nudge.run(address, &stopping))
        });
        if let Some(admin) = state.options.announce_to {
            let (state, stopping) = (Arc::clone(&state), Arc::clone(&stopping));
            workers.push(thread::spawn(move || {
                heartbeat(&state, admin, address, &stopping);
            }));
        }
        Ok(Self {
            address,
            state,
            stopping,
            server: ServerHandle(server),
            workers,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the journal so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.state.journal.records()
    }

    /// Refuses new work, tells the node, and waits until nothing runs.
    pub fn drain(&self) {
        self.state.drain();
        self.workers
            .iter()
            .for_each(|worker| worker.thread().unpark());
        while self.state.gate.running() > 0 {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(DRAIN_LINGER);
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        for worker in &self.workers {
            worker.thread().unpark();
            self.server.0.unblock();
        }
    }
}

/// Tells the node once a second where the backend server is.
fn heartbeat(state: &BackendState, admin: SocketAddr, address: SocketAddr, stopping: &AtomicBool) {
    let mut announcement = Announcement::of_start(&state.options, address);
    while !stopping.load(Ordering::SeqCst) {
        announcement.draining = state.is_draining();
        let taken = announcement.send(admin);
        thread::park_timeout(if taken { HEARTBEAT } else { HEARTBEAT_RETRY });
    }
}

fn serve_all(server: &Server, state: &BackendState, stopping: &AtomicBool) {
    while !stopping.load(Ordering::SeqCst) {
        if let Ok(request) = server.recv() {
            state.nudge.see(request.remote_addr());
            serve(request, state);
        }
    }
}
