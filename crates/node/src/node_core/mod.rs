//! What the parts of a node share.

mod connection_guard;
mod crash_notes;
mod endpoint_reports;
mod open_request_guard;
mod request_notes;
mod store_contact;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::HeaderValue;
use slog::info;
use tokio::sync::{Notify, watch};

pub use connection_guard::ConnectionGuard;
pub use open_request_guard::OpenRequestGuard;

use crate::{
    config::{ConfigVersion, MeshConfig},
    crash::CrashHistory,
    delegation::DelegatedCallQueue,
    distribution::{ConfigHistory, RelaySelector, StoreAccess},
    event_log::EventLog,
    header_names::HeaderNames,
    inbound::{InboundProxy, InboundSettings},
    link::{LinkReporter, LinkScheduler},
    member::{FleetView, LoadReport, MemberKey, MemberRecord, ResponseSizes},
    node_clock::NodeClock,
    node_metrics::NodeMetrics,
    node_settings::NodeSettings,
    outbound::{DeadlineTracker, ResendTracker},
    request_origin::RequestOrigin,
    retry::RetryBudget,
    store::{EraTracker, LeaseId},
    transport::{ConnectionPool, PoolSettings},
};

/// Slots assumed until the backend server tells: the usual size of one.
const ASSUMED_SLOTS: u32 = 8;
/// Part of the allowed time in which a leaving backend server still gets new
/// work. The rest covers the way of a request that is already here.
const LEAVING_PART: f64 = 0.4;

/// Time after the signal to stop in which callers are still served: readiness
/// is checked each second, and two misses take this node out.
pub const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// What the parts of a node share.
///
/// Everything runs on one thread, so that decisions need no locks.
#[derive(Debug)]
pub struct NodeCore {
    /// Settings.
    pub settings: NodeSettings,
    /// Names of the headers.
    pub headers: HeaderNames,
    /// Clock.
    pub clock: NodeClock,
    /// Configuration in force; none until the first was read.
    pub config: RefCell<Option<Rc<MeshConfig>>>,
    /// Members.
    pub fleet: RefCell<FleetView>,
    /// Inbound proxy of the own backend server.
    pub inbound: InboundProxy,
    /// Crashes of backend servers.
    pub crashes: Rc<RefCell<CrashHistory>>,
    /// Link of the instance.
    pub link: Rc<LinkScheduler>,
    /// Connections to other nodes.
    pub peer_connections: ConnectionPool,
    /// Retries.
    pub retries: RefCell<RetryBudget>,
    /// Log.
    pub log: EventLog,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Wakes the announcer after the inbound proxy's state changed.
    pub announcement_changed: Notify,
    /// Own announcement as an earlier process left it.
    pub own_record: RefCell<Option<MemberRecord>>,
    /// Lease of that announcement.
    pub own_lease: Cell<Option<LeaseId>>,
    /// Wakes who confirms it.
    pub own_record_received: Notify,
    /// Wakes who waits until the announcement stands in the store.
    pub announced: Notify,
    /// Whether the announcement in the store is known to be old.
    pub announcement_outdated: Cell<bool>,
    /// A node that holds a later configuration than this one.
    pub newer_config_at: RefCell<Option<(ConfigVersion, SocketAddr)>>,
    /// Wakes the exchange with that node.
    pub newer_config_known: Notify,
    /// Wakes whoever waits for a new configuration or member.
    pub updates: Notify,
    /// Wakes whoever depends on whether this node watches the store.
    pub watch_duty_changed: Notify,
    /// Eras of the store.
    pub eras: Rc<EraTracker>,
    /// Whether the store is called.
    pub store_access: RefCell<StoreAccess>,
    /// Wakes who looks for the store.
    pub store_lost: Notify,
    /// Wakes who waits for the store.
    pub store_back: Notify,
    /// Calls to the store for other nodes.
    pub delegated_calls: DelegatedCallQueue,
    /// Which node watches the store for whom.
    pub relay_selector: RefCell<RelaySelector>,
    /// Configurations that other nodes may still hold.
    pub history: RefCell<ConfigHistory>,
    /// Requests of callers that are open.
    pub open_requests: Cell<u32>,
    /// Connections of others, and ports, that are open.
    pub connections: Cell<u32>,
    /// Whether ports are being shut and connections closed.
    pub closing: watch::Sender<bool>,
    /// When callers that come again first asked.
    pub resends: RefCell<ResendTracker>,
    /// How long ago callers first asked.
    pub deadlines: RefCell<DeadlineTracker>,
    response_sizes: RefCell<ResponseSizes>,
    caller_service: RefCell<HeaderValue>,
    stopping_since: Cell<Option<Duration>>,
    /// When the members of this data centre were first read.
    local_members_listed_at: Cell<Option<Duration>>,
}

impl NodeCore {
    /// Makes a node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// When the metrics can't be registered.
    pub fn new(
        settings: NodeSettings,
        headers: HeaderNames,
        log: EventLog,
    ) -> Result<Rc<Self>, Box<dyn std::error::Error>> {
        let clock = NodeClock::start();
        let inbound_settings = InboundSettings {
            endpoint: settings.endpoint,
            slots: ASSUMED_SLOTS,
            leaving_grace: settings.leaving_time.mul_f64(LEAVING_PART),
        };
        let peer_connections = ConnectionPool::new(PoolSettings {
            connect_timeout: settings.peer_connect_timeout,
            idle_timeout: settings.peer_idle_timeout,
        });
        let metrics = NodeMetrics::new(&settings)?;
        let notes = LinkReporter::new(log.clone(), metrics.link());
        let link = Rc::new(LinkScheduler::new(settings.link_mbps, notes));
        let crashes = Rc::<RefCell<CrashHistory>>::default();
        let inbound = InboundProxy::new(
            inbound_settings,
            headers.clone(),
            clock,
            Rc::clone(&link),
            Rc::clone(&crashes),
        );
        let caller_service = endpoint_reports::service_value(&settings.service);
        Ok(Rc::new(Self {
            metrics,
            inbound,
            link,
            config: RefCell::default(),
            crashes,
            fleet: RefCell::new(FleetView::with_local_endpoint(
                settings.data_centre.clone(),
                settings.peer_addr,
            )),
            peer_connections,
            retries: RefCell::new(RetryBudget::new(settings.retries)),
            log,
            announcement_changed: Notify::new(),
            own_record: RefCell::default(),
            own_lease: Cell::new(None),
            own_record_received: Notify::new(),
            announced: Notify::new(),
            announcement_outdated: Cell::new(false),
            newer_config_at: RefCell::default(),
            newer_config_known: Notify::new(),
            updates: Notify::new(),
            watch_duty_changed: Notify::new(),
            eras: Rc::default(),
            store_access: RefCell::default(),
            store_lost: Notify::new(),
            store_back: Notify::new(),
            delegated_calls: DelegatedCallQueue::default(),
            relay_selector: RefCell::new(RelaySelector::new(settings.peer_addr)),
            history: RefCell::default(),
            open_requests: Cell::new(0),
            connections: Cell::new(0),
            closing: watch::Sender::new(false),
            resends: RefCell::default(),
            deadlines: RefCell::default(),
            response_sizes: RefCell::default(),
            caller_service: RefCell::new(caller_service),
            stopping_since: Cell::new(None),
            local_members_listed_at: Cell::new(None),
            settings,
            headers,
            clock,
        }))
    }

    /// Counts a request as open until the mark is dropped.
    pub fn open_request_guard(self: &Rc<Self>, origin: RequestOrigin) -> OpenRequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequestGuard::new(Rc::clone(self), origin)
    }

    /// Counts a connection or a port as open until the mark is dropped.
    pub fn connection_guard(self: &Rc<Self>) -> ConnectionGuard {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard(Rc::clone(self))
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .borrow()
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Puts a configuration in force if it is newer, and says whether it is.
    pub fn adopt_config(&self, config: MeshConfig, source: &'static str) -> bool {
        let before = self.version();
        if config.version <= before {
            return false;
        }
        info!(self.log.logger(), "configuration in force";
            "version" => config.version.0,
            "before" => before.0,
            "routes" => config.route_count(),
            "source" => source);
        self.metrics.config_version(config.version.0);
        self.history.borrow_mut().push(Rc::clone(&config.input));
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.updates.notify_waiters();
        true
    }

    /// Takes in that the node at `peer_addr` holds `version`.
    pub fn record_peer_version(&self, version: ConfigVersion, peer_addr: SocketAddr) {
        if version <= self.version() {
            return;
        }
        *self.newer_config_at.borrow_mut() = Some((version, peer_addr));
        self.newer_config_known.notify_one();
    }

    /// Takes in what a member told of its load with an answer to a request of
    /// `route_hash`.
    pub fn record_load(&self, key: MemberKey, route_hash: u64, load: LoadReport) {
        let now = self.clock.now();
        self.fleet
            .borrow_mut()
            .record_load(now, key, route_hash, load);
    }

    /// Returns the bytes of a usual answer on a route; 0 when unknown.
    pub fn response_bytes(&self, route_hash: u64) -> u64 {
        self.response_sizes.borrow().get(route_hash)
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether new requests of callers are refused.
    ///
    /// Callers stay on a node that isn't ready while most of their data centre isn't, and
    /// a request that comes shortly before the kill would be cut off. Once those that can
    /// leave have left, the rest is told at once to come back, and what is open can end.
    pub fn rejects_new_callers(&self) -> bool {
        let now = self.clock.now();
        self.stopping_since
            .get()
            .is_some_and(|since| now >= since + CALLER_DRAIN_TIME)
    }

    /// Tells every part that the node stops.
    pub fn begin_shutdown(&self) {
        self.stopping_since.set(Some(self.clock.now()));
        self.inbound.stop();
        self.announcement_changed.notify_one();
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && !self.fleet.borrow().is_empty() && !self.is_stopping()
    }

    /// Does what is due now and then: closes idle connections forgets
    /// members that vanished, and tells what the link carried.
    pub fn sweep(&self, now: Duration) {
        self.peer_connections.sweep();
        self.inbound.sweep();
        self.resends.borrow_mut().sweep(now);
        self.link.report_usage(now);
        let gone = self.fleet.borrow_mut().sweep(now);
        for record in gone {
            info!(self.log.logger(), "member gone";
                "at" => %record.peer_addr,
                "instance" => %record.start,
                "service" => record.service,
                "cause" => "announcement missing");
        }
    }
}
