//! The node's life: it starts, serves, drains and ends.
//!
//! Each stage is a type of its own, so that a node that isn't serving can't be
//! drained and one that drains can't start to serve again.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use geranium_decisions::picking::{BackendPicker, PickerHome};
use geranium_model::{Incarnation, MemberRow, MemberState};
use geranium_platform::{Endpoint, GatewaySettings, GatewayStore, PlatformStore};
use geranium_spread::{FleetCore, FleetSettings};
use slog::{Logger, info, warn};

use crate::{
    DataPort, NodeError, NodeMetrics, QuestionHandler,
    admin::{AdminParts, AdminPort, StatusCell},
    callers::{CallersParts, CallersPort, FrontEvent, FrontState},
    control::{ControlEvent, ControlLinks, ControlLoop, ControlParts, PlatformDuty, listen},
    guard::{GuardEvent, GuardLoop, GuardParts, StreamTable, start_canceller},
    link::LinkPool,
    settings::NodeSettings,
    timer::TimerHub,
};

/// Events that may wait for each thread. A full ring refuses requests at once,
/// and drops control messages, which digests repair.
const GUARD_RING: usize = 4_096;
const CONTROL_RING: usize = 4_096;
const FRONT_RING: usize = 16_384;
const CRASH_RING: usize = 256;
/// How often the guard renews its figures and sweeps streams.
const GUARD_TICK: Duration = Duration::from_millis(500);
/// How often the control thread looks after its timers.
const CONTROL_TICK: Duration = Duration::from_millis(100);
/// How often a draining node looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// Time for the last control messages to leave the process.
const FAREWELL: Duration = Duration::from_millis(200);

/// A node with checked settings that doesn't listen yet.
#[derive(Debug)]
pub struct StartingNode {
    settings: NodeSettings,
    log: Logger,
}

/// A node that takes requests.
#[derive(Debug)]
pub struct ServingNode {
    settings: NodeSettings,
    log: Logger,
    guard: Sender<GuardEvent>,
    control: Sender<ControlEvent>,
    front: Sender<FrontEvent>,
    callers: CallersPort,
    admin: AdminPort,
    data: DataPort,
    streams: Arc<StreamTable>,
    busy: Arc<AtomicBool>,
    drain_asked: Arc<AtomicBool>,
    control_thread: JoinHandle<()>,
}

/// A node that takes no new work and ends what is in flight.
#[derive(Debug)]
pub struct DrainingNode {
    serving: ServingNode,
    give_up: Instant,
}

/// Ring ends that several parts share.
struct Rings {
    guard: (Sender<GuardEvent>, Receiver<GuardEvent>),
    control: (Sender<ControlEvent>, Receiver<ControlEvent>),
    front: (Sender<FrontEvent>, Receiver<FrontEvent>),
}

impl StartingNode {
    /// Takes checked settings.
    pub const fn new(settings: NodeSettings, log: Logger) -> Self {
        Self { settings, log }
    }

    /// Opens every port and starts every thread.
    ///
    /// # Errors
    ///
    /// When a port can't be listened on or a thread can't be started.
    pub fn serve(self) -> Result<ServingNode, NodeError> {
        let Self { settings, log } = self;
        let origin = Instant::now();
        let started = wall_clock();
        let metrics = NodeMetrics::new(
            settings.instance.as_str(),
            settings.data_centre.as_str(),
            started,
        );
        let metrics = Arc::new(metrics.map_err(|error| setup("metrics", &error))?);
        let rings = Rings {
            guard: bounded(GUARD_RING),
            control: bounded(CONTROL_RING),
            front: bounded(FRONT_RING),
        };
        let mut timers = TimerHub::default();
        timers.subscribe(GUARD_TICK, rings.guard.0.clone(), || GuardEvent::Tick);
        timers.subscribe(CONTROL_TICK, rings.control.0.clone(), || ControlEvent::Tick);

        let streams = Arc::new(StreamTable::default());
        let status = Arc::new(StatusCell::default());
        let busy = Arc::new(AtomicBool::new(false));
        let drain_asked = Arc::new(AtomicBool::new(false));

        let parts = NodeParts {
            settings: &settings,
            log: &log,
            origin,
            started,
            metrics: &metrics,
        };
        parts.start_guard(&rings, &streams, &busy)?;
        let data = parts.open_data(&rings)?;
        let control_thread = parts.start_control(&rings, &status)?;
        let callers = parts.start_callers(&rings)?;
        let admin = parts.start_admin(&rings, &status, &drain_asked)?;
        timers.start().map_err(|error| setup("timer", &error))?;
        info!(log, "node serves"; "listen" => %settings.listen, "admin" => %settings.admin);
        Ok(ServingNode {
            settings,
            log,
            guard: rings.guard.0,
            control: rings.control.0,
            front: rings.front.0,
            callers,
            admin,
            data,
            streams,
            busy,
            drain_asked,
            control_thread,
        })
    }
}

/// What every part of a starting node is made from.
struct NodeParts<'a> {
    settings: &'a NodeSettings,
    log: &'a Logger,
    origin: Instant,
    started: Incarnation,
    metrics: &'a Arc<NodeMetrics>,
}

impl NodeParts<'_> {
    fn start_guard(
        &self,
        rings: &Rings,
        streams: &Arc<StreamTable>,
        busy: &Arc<AtomicBool>,
    ) -> Result<(), NodeError> {
        let (cancels, _) = start_canceller().map_err(|error| setup("canceller", &error))?;
        let (crashes, crash_source) = bounded(CRASH_RING);
        let control = rings.control.0.clone();
        spawn("crashes", move || {
            for row in crash_source {
                let _ = control.send(ControlEvent::Crashed(row));
            }
        })?;
        let parts = GuardParts {
            instance: self.settings.instance.clone(),
            started: self.started,
            origin: self.origin,
            stall_timeout: self.settings.stall_timeout,
            events: rings.guard.1.clone(),
            results: rings.guard.0.clone(),
            crashes,
            cancels,
            streams: Arc::clone(streams),
            busy: Arc::clone(busy),
            metrics: Arc::clone(self.metrics),
            log: self.log.clone(),
        };
        spawn("guard", move || GuardLoop::new(parts).run())?;
        Ok(())
    }

    fn open_data(&self, rings: &Rings) -> Result<DataPort, NodeError> {
        let guard = rings.guard.0.clone();
        let handler = move |question, sink| {
            let event = GuardEvent::from_question(question, sink);
            if let Err(error) = guard.try_send(event) {
                error.into_inner().refuse_full();
            }
        };
        let addr = self.settings.data;
        let handler: Arc<QuestionHandler> = Arc::new(handler);
        DataPort::open(addr, &handler).map_err(|error| listen_error("data", addr, &error))
    }

    fn start_control(
        &self,
        rings: &Rings,
        status: &Arc<StatusCell>,
    ) -> Result<JoinHandle<()>, NodeError> {
        let settings = self.settings;
        let platform = PlatformDuty::start(
            &self.platform_store()?,
            rings.control.0.clone(),
            self.metrics,
        );
        let platform = platform.map_err(|error| setup("platform", &error))?;
        listen(
            settings.control,
            rings.control.0.clone(),
            Arc::clone(self.metrics),
        )
        .map_err(|error| listen_error("control", settings.control, &error))?;
        let own = self.own_row();
        let core_settings = FleetSettings {
            seeds: settings.seeds.clone(),
            data_centres: settings.data_centres.clone(),
            planned_members: settings.fleet_size,
        };
        let core = FleetCore::new(core_settings, own.clone(), rand::random());
        let parts = ControlParts {
            own,
            origin: self.origin,
            warming: settings.warming,
            events: rings.control.1.clone(),
            guard: rings.guard.0.clone(),
            front: rings.front.0.clone(),
            links: ControlLinks::new(Arc::clone(self.metrics)),
            platform,
            status: Arc::clone(status),
            metrics: Arc::clone(self.metrics),
            log: self.log.clone(),
        };
        spawn("control", move || ControlLoop::new(parts, core).run())
    }

    fn platform_store(&self) -> Result<Arc<dyn PlatformStore>, NodeError> {
        let bad = |reason: String| NodeError::Platform { reason };
        let endpoints = self
            .settings
            .platform
            .iter()
            .map(|text| {
                text.parse::<Endpoint>()
                    .map_err(|error| bad(error.to_string()))
            })
            .collect::<Result<Vec<_>, _>>()?;
        let store = GatewayStore::try_from(GatewaySettings::new(endpoints));
        Ok(Arc::new(store.map_err(|error| bad(error.to_string()))?))
    }

    fn own_row(&self) -> MemberRow {
        let settings = self.settings;
        MemberRow {
            instance: settings.instance.clone(),
            incarnation: self.started,
            started: self.started,
            state: MemberState::Starting,
            service: None,
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
            control_addr: settings.control,
            data_addr: settings.data,
            admin_addr: settings.admin,
            slots: 0,
        }
    }

    fn start_callers(&self, rings: &Rings) -> Result<CallersPort, NodeError> {
        let settings = self.settings;
        let home = PickerHome {
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
        };
        let own = settings.instance.clone();
        let (guard, events) = (rings.guard.0.clone(), rings.front.1.clone());
        let (metrics, origin) = (Arc::clone(self.metrics), self.origin);
        let make_state = move || {
            let picker = BackendPicker::new(home);
            let links = Arc::new(LinkPool::default());
            FrontState::new(own, picker, links, guard, events, metrics, origin)
        };
        let parts = CallersParts {
            addr: settings.listen,
            connections_max: settings.connections_max,
            head_bytes_max: settings.head_bytes_max,
            head_timeout: settings.request_timeout,
            stall_timeout: settings.stall_timeout,
            body_bytes_max: settings.body_bytes_max,
        };
        CallersPort::start(parts, make_state)
            .map_err(|error| listen_error("callers", settings.listen, &error))
    }

    fn start_admin(
        &self,
        rings: &Rings,
        status: &Arc<StatusCell>,
        drain: &Arc<AtomicBool>,
    ) -> Result<AdminPort, NodeError> {
        let addr = self.settings.admin;
        let parts = AdminParts {
            addr,
            control: rings.control.0.clone(),
            status: Arc::clone(status),
            metrics: Arc::clone(self.metrics),
            log: self.log.clone(),
            drain: Arc::clone(drain),
        };
        AdminPort::start(parts).map_err(|error| listen_error("admin", addr, &error))
    }
}

impl ServingNode {
    /// Reports whether an operator asked this node to drain.
    pub fn drain_asked(&self) -> bool {
        self.drain_asked.load(Ordering::Acquire)
    }

    /// Begins to leave: no new work from here on.
    pub fn drain(self) -> DrainingNode {
        info!(self.log, "node drains");
        // The guard first: from here on nothing new runs, whoever asks. Then
        // the fleet, and then the callers.
        let _ = self.guard.send(GuardEvent::Drain);
        let _ = self.control.send(ControlEvent::Drain);
        let _ = self.front.send(FrontEvent::Draining);
        let give_up = Instant::now() + self.settings.drain_timeout;
        DrainingNode {
            serving: self,
            give_up,
        }
    }
}

impl DrainingNode {
    /// Waits for requests in flight, tells the fleet, and ends every thread.
    ///
    /// Returns whether everything in flight ended by itself.
    pub fn finish(self) -> bool {
        let Self { serving, give_up } = self;
        // The callers' port stays open for a while: requests that still come
        // are routed to other nodes, and answers tell callers to go there.
        thread::sleep(serving.settings.drain_linger);
        let answered = serving.callers.stop(give_up);
        let mut idle = false;
        while !idle && Instant::now() < give_up {
            thread::sleep(DRAIN_POLL);
            idle = !serving.busy.load(Ordering::Acquire) && serving.streams.is_empty();
        }
        if !(answered && idle) {
            warn!(serving.log, "requests were cut off by the drain timeout");
        }
        let _ = serving.control.send(ControlEvent::Leave);
        let _ = serving.control_thread.join();
        thread::sleep(FAREWELL);
        serving.data.close();
        serving.admin.stop();
        info!(serving.log, "node ends"; "whole" => answered && idle);
        answered && idle
    }
}

fn spawn(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, NodeError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
    thread.map_err(|error| setup(name, &error))
}

fn setup(part: &'static str, error: &impl ToString) -> NodeError {
    NodeError::Setup {
        part,
        reason: error.to_string(),
    }
}

fn listen_error(port: &'static str, addr: SocketAddr, error: &impl ToString) -> NodeError {
    NodeError::Listen {
        port,
        addr,
        reason: error.to_string(),
    }
}

/// Takes the first incarnation from the wall clock.
fn wall_clock() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since.as_millis() as u64)
}
