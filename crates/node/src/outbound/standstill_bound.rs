//! Bound on a response body whose node stands still.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    task::{Context, Waker},
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use slog::warn;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep_until},
};

use crate::{
    discovery::UPDATE_PATH,
    node_core::NodeCore,
    transport::{ExchangeError, PeerCall, PeerCallError},
};

/// Time without a byte after which the other node is asked for a sign of life.
const SILENCE_MAX: Duration = Duration::from_millis(150);
/// Time in which a node that works responds.
const RESPONSE_TIME_MAX: Duration = Duration::from_millis(250);
/// Time after a sign of life until the next one is asked for.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the reader of a body and the task that watches it share.
#[derive(Debug)]
struct BodyProgress {
    received_at: Cell<Instant>,
    is_cut: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

/// Ends a response body after the request's end if the node that sends it stands still.
///
/// The node beside the backend server bounds what it passes on. When it stands still itself, nobody
/// else would ever end a response whose head has been passed on. A node that works may be silent as
/// well, while others have their turns on its link, so it is asked for a sign of life first.
#[derive(Debug)]
pub(crate) struct StandstillBound {
    progress: Rc<BodyProgress>,
    watch: JoinHandle<()>,
}

impl StandstillBound {
    /// Starts to watch a body that the node at `peer_addr` sends, for a request that ends at `ends_at`.
    pub(crate) fn start(core: &Rc<NodeCore>, peer_addr: SocketAddr, ends_at: Instant) -> Self {
        let progress = Rc::new(BodyProgress {
            received_at: Cell::new(Instant::now()),
            is_cut: Cell::new(false),
            reader: RefCell::new(None),
        });
        let watch = watch(Rc::clone(core), peer_addr, ends_at, Rc::clone(&progress));
        Self {
            progress,
            watch: spawn_local(watch),
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_bytes(&self) {
        self.progress.received_at.set(Instant::now());
    }

    /// Returns whether the body ends here. Otherwise the task is woken when it does.
    pub(crate) fn poll_cut(&self, cx: &mut Context<'_>) -> bool {
        if self.progress.is_cut.get() {
            return true;
        }
        *self.progress.reader.borrow_mut() = Some(cx.waker().clone());
        false
    }
}

impl Drop for StandstillBound {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

async fn watch(
    core: Rc<NodeCore>,
    peer_addr: SocketAddr,
    ends_at: Instant,
    progress: Rc<BodyProgress>,
) {
    let mut check_at = ends_at;
    loop {
        sleep_until(check_at.max(progress.received_at.get() + SILENCE_MAX)).await;
        if progress.received_at.get().elapsed() < SILENCE_MAX {
            continue;
        }
        if !responds(&core, peer_addr).await {
            break;
        }
        check_at = Instant::now() + RECHECK_INTERVAL;
    }
    let silence = progress.received_at.get().elapsed();
    warn!(core.log.logger(), "response of a silent node cut";
        "at" => %peer_addr, "silence_ms" => silence.as_millis() as u64);
    progress.is_cut.set(true);
    if let Some(reader) = progress.reader.take() {
        reader.wake();
    }
}

/// Returns whether the node at `peer_addr` responds.
///
/// A refused connection is a response as well: the node stops, and goes on to send what it has, or
/// its process has ended, and the body ends with it.
async fn responds(core: &NodeCore, peer_addr: SocketAddr) -> bool {
    // Without a query the path gets status 400 at once.
    let call = PeerCall {
        method: Method::GET,
        path: UPDATE_PATH,
        body: Bytes::new(),
        timeout: RESPONSE_TIME_MAX,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let response = call
        .send(&core.peer_connections, peer_addr, idle_timeout)
        .await;
    match response {
        Ok(_) | Err(PeerCallError::Refused { .. } | PeerCallError::Body { .. }) => true,
        Err(PeerCallError::Exchange { source }) => matches!(source, ExchangeError::Refused { .. }),
        Err(PeerCallError::TimedOut) => false,
    }
}
