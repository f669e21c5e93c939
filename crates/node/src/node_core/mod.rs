//! State that all parts of a node share, and the recording of their events.

mod connection_guard;
mod crash_records;
mod endpoint_reports;
mod key_checks;
mod key_validity;
mod listener_guard;
mod open_request_guard;
mod peer_callers;
mod request_outcomes;
mod rollouts;
mod shutdown;
mod store_contact;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::HeaderValue;
use slog::info;
use tokio::sync::{Notify, watch};

pub use connection_guard::ConnectionGuard;
pub use key_checks::KeyCheckState;
pub use key_validity::CHECK_WAIT;
pub use listener_guard::ListenerGuard;
pub use open_request_guard::OpenRequestGuard;
pub use peer_callers::PeerCaller;
pub use rollouts::VersionPlan;

use crate::{
    boot_clock::BootClock,
    config::{ConfigVersion, MeshConfig},
    crash::CrashHistory,
    delegation::DelegatedCallQueue,
    distribution::{ConfigHistory, MemberUpdateCache, RelaySelector, StoreAccess},
    event_log::EventLog,
    freshness::FreshnessTracker,
    header_names::HeaderNames,
    inbound::{InboundProxy, InboundSettings},
    link::{LinkReporter, LinkScheduler},
    member::{FleetView, LoadReport, MemberKey, MemberRecord, ResponseSizes},
    node_clock::NodeClock,
    node_metrics::NodeMetrics,
    node_settings::NodeSettings,
    outbound::{DeadlineTracker, PeersInUse, ResendTracker},
    quota::QuotaState,
    rate_limit::NoticeReporter,
    registration::RegistrarState,
    request_body::BodyMemory,
    request_origin::RequestOrigin,
    retry::RetryBudget,
    rollout::{DeciderContact, OrderBook, RolloutRegistry, TrafficSplit},
    shutdown::ShutdownSchedule,
    store::{EraTracker, LeaseId},
    transport::{ConnectionPool, PoolSettings},
};

/// Slots assumed until the backend server reports its own number.
///
/// Most backend servers have this many.
const ASSUMED_SLOTS: u32 = 8;
/// Share of the leaving time in which a leaving backend server still gets requests.
///
/// The rest of the time is for requests that have already reached this node.
const LEAVING_GRACE_SHARE: f64 = 0.4;

/// State that all parts of a node share.
///
/// All tasks of a node run on one thread, so the state needs no locks.
#[derive(Debug)]
pub struct NodeCore {
    /// Settings that the node was started with.
    pub settings: NodeSettings,
    /// Configured names of the HTTP headers exchanged with callers and backend servers.
    pub headers: HeaderNames,
    /// Clock that counts from the start of this process.
    pub clock: NodeClock,
    /// Configuration in force; `None` until the first one is adopted.
    pub config: RefCell<Option<Rc<MeshConfig>>>,
    /// All nodes known from announcements, with their load.
    pub fleet: RefCell<FleetView>,
    /// Proxy in front of the local backend server.
    pub inbound: InboundProxy,
    /// Memory of the bodies of requests.
    pub body_memory: BodyMemory,
    /// Crashes of backend servers in the whole fleet.
    pub crashes: Rc<RefCell<CrashHistory>>,
    /// Scheduler of the instance's outgoing network link.
    pub link: Rc<LinkScheduler>,
    /// Nodes at which requests of this one are in flight.
    pub peers_in_use: RefCell<PeersInUse>,
    /// Open connections to other nodes.
    pub peer_connections: ConnectionPool,
    /// Budget that limits the retries of this node's requests.
    pub retries: RefCell<RetryBudget>,
    /// Log of this node, with a rate limit on lines about single requests.
    pub log: EventLog,
    /// Prometheus metrics of this node.
    pub metrics: NodeMetrics,
    /// Wakes the announcer when the announcement in the store may have to change.
    pub announcement_changed: Rc<Notify>,
    /// Announcement of this node that an earlier process left in the store.
    pub earlier_record: RefCell<Option<MemberRecord>>,
    /// Lease of the announcement in `earlier_record`.
    pub earlier_lease: Cell<Option<LeaseId>>,
    /// This node's part as a registrar of others.
    pub registrar: RegistrarState,
    /// Wakes the task that confirms `earlier_record` with the backend server.
    pub earlier_record_received: Notify,
    /// Wakes tasks that wait until the announcement is written to the store.
    pub announcement_written: Notify,
    /// Whether the announcement in the store is known to be outdated.
    pub announcement_outdated: Cell<bool>,
    /// Version and address of a node with a newer configuration than this node's.
    pub newer_config_at: RefCell<Option<(ConfigVersion, SocketAddr)>>,
    /// Wakes the task that fetches the configuration from `newer_config_at`.
    pub newer_config_known: Notify,
    /// State of the checks of callers' keys.
    pub key_checks: KeyCheckState,
    /// Wakes tasks that wait for a configuration, member or store-contact update.
    pub update_arrived: Notify,
    /// Wakes tasks when this node may have to start or stop watching the store.
    pub watch_duty_changed: Notify,
    /// Eras of the store that this node has seen.
    pub eras: Rc<EraTracker>,
    /// Whether the store may be called, and when it is probed after a failure.
    pub store_access: RefCell<StoreAccess>,
    /// Wakes the task that probes the store after a failed call.
    pub store_lost: Notify,
    /// Wakes tasks that wait until the store may be called again.
    pub store_back: Notify,
    /// Store calls that this node makes on behalf of other nodes.
    pub delegated_calls: DelegatedCallQueue,
    /// Selection of the node that this node takes updates from.
    pub relay_selector: RefCell<RelaySelector>,
    /// Recent updates of the members for other nodes.
    pub member_updates: RefCell<MemberUpdateCache>,
    /// Recent configurations, from which deltas for other nodes are computed.
    pub history: RefCell<ConfigHistory>,
    /// Rollouts of all services that this node knows.
    pub rollouts: RefCell<RolloutRegistry>,
    /// Operators' orders of rollouts, while this node watches them.
    pub orders: RefCell<OrderBook>,
    /// Services about whose rollouts this node decides.
    pub decided_rollouts: RefCell<HashSet<String>>,
    /// When the deciding nodes of rollouts last asked this node.
    pub decider_contact: RefCell<DeciderContact>,
    /// Wakes the task that decides about rollouts.
    pub rollouts_changed: Notify,
    /// Division of this node's requests between versions by service.
    splits: RefCell<HashMap<String, TrafficSplit>>,
    /// Quotas of accounts; none where the settings have no quota window.
    pub quota: Option<QuotaState>,
    /// Number of open requests from callers and other nodes.
    pub open_requests: Cell<u32>,
    /// Number of open incoming connections.
    pub open_connections: Cell<u32>,
    /// Number of open listeners.
    pub open_listeners: Cell<u32>,
    /// Whether listeners and connections are being closed.
    pub closing: watch::Sender<bool>,
    /// First arrival times of requests without a response, which callers may resend.
    pub resends: RefCell<ResendTracker>,
    /// Estimates from a request's deadline how long ago its caller first sent it.
    pub deadlines: RefCell<DeadlineTracker>,
    /// Proof that the configuration is fresh; none where no proof is needed.
    freshness: RefCell<Option<FreshnessTracker>>,
    /// Sender and stamp of the last proof that another node sent.
    relayed_stamp: Cell<Option<(SocketAddr, u64)>>,
    response_sizes: RefCell<ResponseSizes>,
    caller_service: RefCell<HeaderValue>,
    /// Times of the shutdown; none until it begins.
    shutdown: watch::Sender<Option<ShutdownSchedule>>,
    /// When the members of this data centre were first listed; `None` before.
    local_members_listed_at: Cell<Option<Duration>>,
}

impl NodeCore {
    /// Creates the state of a node without a configuration or members.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be registered.
    pub fn new(
        settings: NodeSettings,
        headers: HeaderNames,
        log: EventLog,
    ) -> Result<Rc<Self>, Box<dyn std::error::Error>> {
        let clock = NodeClock::start();
        let inbound_settings = InboundSettings {
            endpoint: settings.endpoint,
            slots: ASSUMED_SLOTS,
            leaving_grace: settings.leaving_time.mul_f64(LEAVING_GRACE_SHARE),
        };
        let peer_connections = ConnectionPool::new(PoolSettings {
            connect_timeout: settings.peer_connect_timeout,
            idle_timeout: settings.peer_idle_timeout,
        });
        let metrics = NodeMetrics::new(&settings)?;
        let reporter = LinkReporter::new(log.clone(), metrics.link());
        let notice_reporter = NoticeReporter::new(log.clone(), metrics.limit());
        let link = Rc::new(LinkScheduler::new(settings.link_mbps, reporter));
        let announcement_changed = Rc::<Notify>::default();
        let crashes = Rc::<RefCell<CrashHistory>>::default();
        let inbound = InboundProxy::new(
            inbound_settings,
            headers.clone(),
            clock,
            Rc::clone(&link),
            Rc::clone(&crashes),
            notice_reporter,
            Rc::clone(&announcement_changed),
        );
        let quota_terms = settings.accounts.and_then(|accounts| accounts.quota);
        let quota = quota_terms.zip(metrics.quota());
        let quota = quota.map(|(terms, counters)| QuotaState::new(terms, counters, log.clone()));
        let caller_service = endpoint_reports::service_value(&settings.service);
        Ok(Rc::new(Self {
            metrics,
            body_memory: BodyMemory::new(settings.body_memory),
            inbound,
            link,
            config: RefCell::default(),
            crashes,
            fleet: RefCell::new(FleetView::with_local_endpoint(
                settings.data_centre.clone(),
                settings.peer_addr,
            )),
            peers_in_use: RefCell::default(),
            peer_connections,
            retries: RefCell::new(RetryBudget::new(settings.retries).with_rounding(rand::random())),
            log,
            announcement_changed,
            earlier_record: RefCell::default(),
            earlier_lease: Cell::new(None),
            registrar: RegistrarState::default(),
            earlier_record_received: Notify::new(),
            announcement_written: Notify::new(),
            announcement_outdated: Cell::new(false),
            newer_config_at: RefCell::default(),
            newer_config_known: Notify::new(),
            key_checks: KeyCheckState::default(),
            update_arrived: Notify::new(),
            watch_duty_changed: Notify::new(),
            eras: Rc::default(),
            store_access: RefCell::default(),
            store_lost: Notify::new(),
            store_back: Notify::new(),
            delegated_calls: DelegatedCallQueue::default(),
            relay_selector: RefCell::new(RelaySelector::new(settings.peer_addr)),
            member_updates: RefCell::default(),
            history: RefCell::default(),
            rollouts: RefCell::default(),
            orders: RefCell::default(),
            decided_rollouts: RefCell::default(),
            decider_contact: RefCell::default(),
            rollouts_changed: Notify::new(),
            splits: RefCell::default(),
            quota,
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            open_listeners: Cell::new(0),
            closing: watch::Sender::new(false),
            resends: RefCell::default(),
            deadlines: RefCell::default(),
            freshness: RefCell::new(key_validity::new_tracker(&settings)),
            relayed_stamp: Cell::new(None),
            response_sizes: RefCell::default(),
            caller_service: RefCell::new(caller_service),
            shutdown: watch::Sender::new(None),
            local_members_listed_at: Cell::new(None),
            settings,
            headers,
            clock,
        }))
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request_guard(self: &Rc<Self>, origin: RequestOrigin) -> OpenRequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequestGuard::new(Rc::clone(self), origin)
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub fn connection_guard(self: &Rc<Self>) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        ConnectionGuard(Rc::clone(self))
    }

    /// Counts a listener as open until the returned guard is dropped.
    pub fn listener_guard(self: &Rc<Self>) -> ListenerGuard {
        self.open_listeners.set(self.open_listeners.get() + 1);
        ListenerGuard(Rc::clone(self))
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .borrow()
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// Returns whether it was adopted. `source` says in the log where it came from.
    pub fn adopt_config(&self, config: MeshConfig, source: &'static str) -> bool {
        let previous_version = self.version();
        if config.version <= previous_version {
            return false;
        }
        info!(self.log.logger(), "configuration in force";
            "version" => config.version.0,
            "before" => previous_version.0,
            "routes" => config.route_count(),
            "source" => source);
        self.log_key_changes(self.config.borrow().as_deref(), &config);
        self.metrics.set_config_version(config.version.0);
        self.history.borrow_mut().push(Rc::clone(&config.input));
        self.with_tracker(|tracker| tracker.record_config(config.version));
        if let Some(quota) = &self.quota {
            quota.adopt(BootClock::now(), &config.accounts);
        }
        let largest_body = config.limits.max_body_bytes as u64;
        self.body_memory.set_largest_body(largest_body);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.update_arrived.notify_waiters();
        true
    }

    /// Records that the node at `peer_addr` holds configuration `version`.
    ///
    /// A version newer than this node's wakes the task that fetches it from there.
    pub fn record_peer_version(&self, version: ConfigVersion, peer_addr: SocketAddr) {
        if version <= self.version() || !self.is_config_peer(peer_addr) {
            return;
        }
        self.record_newer_version(version);
        self.with_tracker(|tracker| tracker.record_peer_version(version, BootClock::now()));
        *self.newer_config_at.borrow_mut() = Some((version, peer_addr));
        self.newer_config_known.notify_one();
    }

    /// Records the load that a member reported with a response.
    ///
    /// `route_hash` identifies the route of the request.
    pub fn record_load(&self, key: MemberKey, route_hash: u64, load: LoadReport) {
        let now = self.clock.now();
        self.fleet
            .borrow_mut()
            .record_load(now, key, route_hash, load);
    }

    /// Returns the usual size of a route's response bodies in bytes; 0 if unknown.
    pub fn response_bytes(&self, route_hash: u64) -> u64 {
        self.response_sizes.borrow().get(route_hash)
    }

    /// Returns whether the readiness check passes.
    ///
    /// The node is ready if it has a configuration, knows a member and isn't stopping.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && !self.fleet.borrow().is_empty() && !self.is_stopping()
    }

    /// Does the periodic cleanup.
    ///
    /// Closes idle connections, removes expired entries and members without an announcement,
    /// and reports the use of the link and of the local backend server's limit.
    pub fn sweep(&self, now: Duration) {
        self.peer_connections.sweep();
        self.inbound.sweep();
        self.resends.borrow_mut().sweep(now);
        self.link.report_usage(now);
        self.inbound.report_limit_usage(now);
        if let Some(quota) = &self.quota {
            quota.sweep(BootClock::now(), self.data_centre_rank());
        }
        let expired_records = self.fleet.borrow_mut().sweep(now);
        for record in expired_records {
            info!(self.log.logger(), "member gone";
                "at" => %record.peer_addr,
                "instance" => %record.start,
                "service" => record.service,
                "cause" => "announcement missing");
        }
    }
}
