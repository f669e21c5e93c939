//! The running stand-in.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use socket2::{Domain, Protocol, Socket, Type};
use tiny_http::Server;

use crate::pool_nudge::PoolNudge;

use super::{
    CountsReport, FaultPlan, FaultRequest, ServerSettings, request_handler,
    shared_state::SharedState,
};

/// Threads that answer calls; none of them waits, so a few are enough.
const WORKERS: usize = 4;
/// How often leases are looked at; their length is in whole seconds.
const LEASE_TICK: Duration = Duration::from_millis(100);
/// Connections that may wait to be accepted: a herd of nodes returns at once.
const BACKLOG: i32 = 1_024;

/// A stand-in that serves until it is dropped.
pub struct PlatformServer {
    addr: SocketAddr,
    shared: Arc<SharedState>,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for PlatformServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformServer")
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl PlatformServer {
    /// Listens and starts serving.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_standins::platform::{FaultRequest, PlatformServer};
    ///
    /// let server = PlatformServer::start("127.0.0.1:0".parse().unwrap())?;
    /// server.set_faults(&FaultRequest { cut_watches: true, ..FaultRequest::default() });
    /// assert_eq!(server.counts().totals.read, 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        Self::start_with(listen, FaultPlan::default())
    }

    /// Starts with the rate ceilings of `settings`.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn start_from(settings: &ServerSettings) -> io::Result<Self> {
        let plan = FaultPlan {
            reads_per_second: settings.reads_per_second,
            writes_per_second: settings.writes_per_second,
            ..FaultPlan::default()
        };
        Self::start_with(settings.listen, plan)
    }

    fn start_with(listen: SocketAddr, plan: FaultPlan) -> io::Result<Self> {
        let listener = listen_without_delay(listen)?;
        let addr = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let shared = Arc::new(SharedState::new(plan));
        let nudge = Arc::new(PoolNudge::new());
        let stopping = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for _ in 0..WORKERS {
            let (server, shared) = (Arc::clone(&server), Arc::clone(&shared));
            let nudge = Arc::clone(&nudge);
            threads.push(thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    nudge.see(request.remote_addr());
                    request_handler::handle(&shared, request);
                }
            }));
        }
        let stop = Arc::clone(&stopping);
        threads.push(thread::spawn(move || nudge.run(addr, &stop)));
        let leases = Arc::clone(&shared);
        threads.push(thread::spawn(move || end_lapsed_leases(&leases)));
        Ok(Self {
            addr,
            shared,
            server,
            stopping,
            threads,
        })
    }

    /// Returns the bound address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults shown.
    pub fn set_faults(&self, request: &FaultRequest) {
        self.shared.set_faults(request);
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> CountsReport {
        self.shared.report()
    }

    /// Serves until the process ends.
    pub fn join(mut self) {
        for thread in self.threads.drain(..) {
            // A panic was printed by its own thread.
            let _panicked = thread.join();
        }
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.shared.stop();
        self.stopping.store(true, Ordering::SeqCst);
        for _ in 0..WORKERS {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            let _panicked = thread.join();
        }
    }
}

/// Makes a listener whose connections send small answers at once.
///
/// Failure: on a connection that is kept alive, Nagle's algorithm holds the
/// end of an answer back until the client's delayed acknowledgement, 40 ms
/// later. Accepted sockets inherit the option from the listener.
fn listen_without_delay(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn end_lapsed_leases(shared: &SharedState) {
    loop {
        thread::sleep(LEASE_TICK);
        let mut guarded = shared.lock();
        if guarded.stopped {
            return;
        }
        if guarded.store.end_lapsed(Instant::now()) {
            shared.changed.notify_all();
        }
    }
}
