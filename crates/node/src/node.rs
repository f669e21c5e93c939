//! The node put together.

use std::{rc::Rc, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use slog::{Logger, info, warn};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{Instant, sleep},
};

use crate::{
    admin::AdminHandler,
    crash::watch_crashes,
    delegation::run_delegated_calls,
    discovery::{
        ConfigSource, fetch_newer_config, follow_relay, keep_announced, probe_store, watch_config,
        watch_eras, watch_members,
    },
    http_listener::{BindError, ConnectionLimits, bind_listener, serve_listener},
    inbound::confirm_endpoint,
    node_core::{CALLER_DRAIN_TIME, NodeCore, OpenRequestGuard},
    node_settings::ListenAddrs,
    outbound::OutboundProxy,
    peer_handler::PeerHandler,
    request_origin::RequestOrigin,
    response_body::ResponseBody,
    store::MetaStore,
};

/// Idle time of ports that only other nodes and the platform use; above that
/// of the connections which nodes keep to one another.
const INNER_IDLE: Duration = Duration::from_secs(60);
/// Most bytes of a head on those ports.
const INNER_HEAD: usize = 64 * 1024;
/// Idle time towards callers before the first configuration.
const FIRST_IDLE: Duration = Duration::from_secs(15);
/// Time between sweeps of idle connections and vanished members.
const SWEEP_TIME: Duration = Duration::from_millis(500);
/// Time kept free before the kill.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Longest time for connections to end once the ports are shut: each has an
/// answer in hand or none. Callers that don't read hold theirs open.
const CLOSE_MAX: Duration = Duration::from_millis(200);
/// Time between looks at them.
const CLOSE_LOOK: Duration = Duration::from_millis(5);
/// Time between looks at what is still open while stopping.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// The ports of a node, open.
#[derive(Debug)]
pub struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    readiness: TcpListener,
    reports: TcpListener,
    metrics: Option<TcpListener>,
}

impl NodeListeners {
    /// Opens them. A node whose metrics port is taken runs without metrics:
    /// callers must not suffer for it.
    ///
    /// # Errors
    ///
    /// When another address can't be bound.
    pub fn open(addrs: &ListenAddrs, logger: &Logger) -> Result<Self, BindError> {
        let metrics = addrs.metrics.and_then(|addr| {
            let opened = bind_listener(addr);
            opened
                .inspect_err(|cause| warn!(logger, "no metrics"; "cause" => %cause))
                .ok()
        });
        Ok(Self {
            callers: bind_listener(addrs.callers)?,
            peers: bind_listener(addrs.peers)?,
            readiness: bind_listener(addrs.readiness)?,
            reports: bind_listener(addrs.reports)?,
            metrics,
        })
    }
}

/// What the platform asks of a node, as its adapter answers it.
pub trait PlatformHandler: Clone + 'static {
    /// Answers a readiness check.
    fn readiness(self, request: Request<Incoming>) -> impl Future<Output = Response<ResponseBody>>;

    /// Answers a heartbeat or farewell of the backend server.
    fn report(self, request: Request<Incoming>) -> impl Future<Output = Response<ResponseBody>>;
}

/// Starts every task of a node on the current thread's executor.
pub fn start_node(
    core: &Rc<NodeCore>,
    listeners: NodeListeners,
    platform: impl PlatformHandler,
    store: Rc<impl MetaStore>,
    source: ConfigSource,
) {
    info!(core.log.logger(), "started";
        "hop" => %core.settings.peer_addr,
        "endpoint" => %core.settings.endpoint,
        "service" => &*core.settings.service,
        "data_centre" => &*core.settings.data_centre);
    serve_callers(core, listeners.callers);
    serve_inner(core, listeners.peers, {
        let handler = PeerHandler::new(Rc::clone(core));
        let core = Rc::clone(core);
        move |request| {
            let (handler, open) = (
                handler.clone(),
                core.open_request_guard(RequestOrigin::Node),
            );
            async move { opened(handler.answer(request).await, open) }
        }
    });
    let readiness = platform.clone();
    serve_inner(core, listeners.readiness, move |request| {
        readiness.clone().readiness(request)
    });
    serve_inner(core, listeners.reports, move |request| {
        platform.clone().report(request)
    });
    if let Some(metrics) = listeners.metrics {
        let handler = AdminHandler::new(Rc::clone(core));
        serve_inner(core, metrics, move |request| {
            std::future::ready(handler.answer(&request))
        });
    }
    spawn_local(watch_config(Rc::clone(core), Rc::clone(&store), source));
    spawn_local(watch_members(Rc::clone(core), Rc::clone(&store)));
    spawn_local(follow_relay(Rc::clone(core)));
    spawn_local(confirm_endpoint(Rc::clone(core)));
    spawn_local(probe_store(Rc::clone(core), Rc::clone(&store)));
    spawn_local(watch_eras(Rc::clone(core)));
    spawn_local(watch_crashes(Rc::clone(core), Rc::clone(&store)));
    spawn_local(run_delegated_calls(Rc::clone(core), Rc::clone(&store)));
    spawn_local(keep_announced(Rc::clone(core), store));
    spawn_local(fetch_newer_config(Rc::clone(core)));
    spawn_local(sweep(Rc::clone(core)));
}

/// Stops a node: finishes what is open and returns when the process may end.
///
/// Callers are still served until they have noticed that the node isn't ready
/// any more; other nodes get refusals, upon which they go elsewhere.
pub async fn stop_node(core: &Rc<NodeCore>) {
    let begun = Instant::now();
    info!(core.log.logger(), "stopping"; "open" => core.open_requests.get());
    core.begin_shutdown();
    let latest = core.settings.stop_time.saturating_sub(STOP_MARGIN);
    while begun.elapsed() < latest {
        if begun.elapsed() >= CALLER_DRAIN_TIME && core.open_requests.get() == 0 {
            break;
        }
        sleep(STOP_LOOK).await;
    }
    core.closing.send_replace(true);
    let closed = Instant::now();
    while closed.elapsed() < CLOSE_MAX && core.connections.get() > 0 {
        sleep(CLOSE_LOOK).await;
    }
    info!(core.log.logger(), "stopped";
        "open" => core.open_requests.get(),
        "took_ms" => begun.elapsed().as_millis() as u64);
}

/// Counts an answer as open, and on the link, until its end.
fn opened(answer: Response<ResponseBody>, open: OpenRequestGuard) -> Response<ResponseBody> {
    open.sent_head(answer.headers());
    answer.map(|body| body.with_open_request_guard(open))
}

fn serve_callers(core: &Rc<NodeCore>, listener: TcpListener) {
    let flow = OutboundProxy::new(Rc::clone(core));
    let (counted, limited) = (Rc::clone(core), Rc::clone(core));
    let answer = move |request| {
        let (flow, open) = (
            flow.clone(),
            counted.open_request_guard(RequestOrigin::Caller),
        );
        async move { opened(flow.answer(request).await, open) }
    };
    let limits = move || match &*limited.config.borrow() {
        Some(config) => ConnectionLimits {
            idle_time: config.limits.idle_time,
            head_bytes: config.limits.head_bytes,
        },
        None => ConnectionLimits {
            idle_time: FIRST_IDLE,
            head_bytes: INNER_HEAD,
        },
    };
    spawn_local(serve_listener(Rc::clone(core), listener, limits, answer));
}

fn serve_inner<F>(
    core: &Rc<NodeCore>,
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let limits = || ConnectionLimits {
        idle_time: INNER_IDLE,
        head_bytes: INNER_HEAD,
    };
    spawn_local(serve_listener(Rc::clone(core), listener, limits, answer));
}

async fn sweep(core: Rc<NodeCore>) {
    loop {
        sleep(SWEEP_TIME).await;
        core.sweep(core.clock.now());
    }
}
