//! Startup of a node.

use std::{rc::Rc, time::Duration};

use http::{Request, Response};
use hyper::body::Incoming;
use slog::{Logger, info, warn};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

use crate::{
    admin::AdminHandler,
    connection_limits::ConnectionLimits,
    connections::ConnectionSlots,
    crash::watch_crashes,
    delegation::run_delegated_calls,
    discovery::{
        OperatorSource, fetch_newer_config, follow_relay, keep_announced, keep_fresh, probe_store,
        query_leavings, watch_config, watch_eras, watch_members,
    },
    http_listener::{BindError, bind_listener, serve_listener, serve_pipelined_listener},
    inbound::confirm_endpoint,
    node_core::{NodeCore, OpenRequestGuard},
    node_settings::ListenAddrs,
    outbound::OutboundProxy,
    peer_handler::PeerHandler,
    quota::{ShardId, keep_shard},
    registration::run_registrar,
    request_origin::RequestOrigin,
    response_body::ResponseBody,
    rollout::{ask_decider, decide_rollouts},
    store::MetaStore,
};

/// Idle timeout of listeners for other nodes, the platform and operators. It exceeds
/// that of the connections which nodes keep to each other, so the client closes first.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest head in bytes on listeners for other nodes, the platform and operators.
const INTERNAL_HEAD_MAX_BYTES: usize = 64 * 1024;
/// Idle timeout of callers' connections before the first configuration.
const INITIAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between cleanups of idle connections and vanished members.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Open listeners of a node.
#[derive(Debug)]
pub struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    readiness: TcpListener,
    reports: TcpListener,
    metrics: Option<TcpListener>,
}

impl NodeListeners {
    /// Opens every listener of a node.
    ///
    /// If the metrics address can't be bound, the node runs without metrics, as
    /// callers must not be affected.
    ///
    /// # Errors
    ///
    /// Returns an error when another address can't be bound.
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

/// Handler of the platform's requests to a node, implemented by the platform adapter.
pub trait PlatformHandler: Clone + 'static {
    /// Handles a readiness check.
    fn readiness(self, request: Request<Incoming>) -> impl Future<Output = Response<ResponseBody>>;

    /// Handles a heartbeat or deregistration of the backend server.
    fn report(self, request: Request<Incoming>) -> impl Future<Output = Response<ResponseBody>>;
}

/// Spawns every task of a node on the current thread's executor.
pub fn start_node(
    core: &Rc<NodeCore>,
    listeners: NodeListeners,
    platform: impl PlatformHandler,
    store: Rc<impl MetaStore>,
    source: OperatorSource,
) {
    info!(core.log.logger(), "started";
        "hop" => %core.settings.peer_addr,
        "endpoint" => %core.settings.endpoint,
        "service" => &*core.settings.service,
        "data_centre" => &*core.settings.data_centre);
    serve_callers(core, listeners.callers);
    serve_peers(core, listeners.peers, {
        let handler = PeerHandler::new(Rc::clone(core));
        let core = Rc::clone(core);
        move |request| {
            let (handler, guard) = (
                handler.clone(),
                core.open_request_guard(RequestOrigin::Node),
            );
            async move { track_response(handler.handle(request).await, guard) }
        }
    });
    let readiness = platform.clone();
    serve_internal(core, listeners.readiness, move |request| {
        readiness.clone().readiness(request)
    });
    serve_internal(core, listeners.reports, move |request| {
        platform.clone().report(request)
    });
    if let Some(metrics) = listeners.metrics {
        let handler = AdminHandler::new(Rc::clone(core));
        serve_internal(core, metrics, move |request| {
            std::future::ready(handler.handle(&request))
        });
    }
    if core.needs_proofs() {
        let store = Rc::clone(&store);
        spawn_local(keep_fresh(Rc::clone(core), store, source.config));
    }
    spawn_local(watch_config(Rc::clone(core), Rc::clone(&store), source));
    spawn_local(watch_members(Rc::clone(core), Rc::clone(&store)));
    spawn_local(follow_relay(
        Rc::clone(core),
        Rc::clone(&store),
        source.config,
    ));
    spawn_local(confirm_endpoint(Rc::clone(core)));
    spawn_local(probe_store(Rc::clone(core), Rc::clone(&store)));
    spawn_local(query_leavings(Rc::clone(core)));
    spawn_local(watch_eras(Rc::clone(core)));
    spawn_local(watch_crashes(Rc::clone(core), Rc::clone(&store)));
    if let Some(rollouts) = source.rollouts {
        spawn_local(ask_decider(Rc::clone(core)));
        spawn_local(decide_rollouts(
            Rc::clone(core),
            Rc::clone(&store),
            rollouts,
        ));
    }
    spawn_local(run_delegated_calls(Rc::clone(core), Rc::clone(&store)));
    spawn_local(run_registrar(Rc::clone(core), Rc::clone(&store)));
    for shard in ShardId::ALL {
        spawn_local(keep_shard(Rc::clone(core), Rc::clone(&store), shard));
    }
    spawn_local(keep_announced(Rc::clone(core), store));
    spawn_local(fetch_newer_config(Rc::clone(core)));
    spawn_local(sweep(Rc::clone(core)));
}

/// Counts a response as open until its end, and its head as link traffic.
fn track_response(
    response: Response<ResponseBody>,
    guard: OpenRequestGuard,
) -> Response<ResponseBody> {
    guard.record_head(response.headers());
    response.map(|body| body.with_open_request_guard(guard))
}

fn serve_callers(core: &Rc<NodeCore>, listener: TcpListener) {
    let proxy = OutboundProxy::new(Rc::clone(core));
    let (counted, limited) = (Rc::clone(core), Rc::clone(core));
    let may_begin_early = {
        let proxy = proxy.clone();
        move |target: &_| proxy.may_begin_early(target)
    };
    let is_draining = {
        let core = Rc::clone(core);
        move || core.is_stopping()
    };
    let handler = move |request| {
        let (proxy, guard) = (
            proxy.clone(),
            counted.open_request_guard(RequestOrigin::Caller),
        );
        async move { track_response(proxy.handle(request).await, guard) }
    };
    let limits = move || match &*limited.config.borrow() {
        Some(config) => ConnectionLimits {
            idle_timeout: config.limits.idle_timeout,
            max_head_bytes: config.limits.max_head_bytes,
        },
        None => ConnectionLimits {
            idle_timeout: INITIAL_IDLE_TIMEOUT,
            max_head_bytes: INTERNAL_HEAD_MAX_BYTES,
        },
    };
    spawn_local(serve_pipelined_listener(
        Rc::clone(core),
        listener,
        limits,
        may_begin_early,
        is_draining,
        Some(ConnectionSlots::new(core.settings.max_connections)),
        handler,
    ));
}

/// Serves other nodes, which send one request at a time on each connection.
///
/// Their connections are idle most of the time, and take no buffers then.
fn serve_peers<F>(
    core: &Rc<NodeCore>,
    listener: TcpListener,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    spawn_local(serve_pipelined_listener(
        Rc::clone(core),
        listener,
        internal_limits,
        |_| false,
        || false,
        None,
        handler,
    ));
}

fn serve_internal<F>(
    core: &Rc<NodeCore>,
    listener: TcpListener,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    spawn_local(serve_listener(
        Rc::clone(core),
        listener,
        internal_limits,
        handler,
    ));
}

const fn internal_limits() -> ConnectionLimits {
    ConnectionLimits {
        idle_timeout: INTERNAL_IDLE_TIMEOUT,
        max_head_bytes: INTERNAL_HEAD_MAX_BYTES,
    }
}

async fn sweep(core: Rc<NodeCore>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        core.sweep(core.clock.now());
    }
}
