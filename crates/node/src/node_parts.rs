//! The parts of a node, started one by one.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool},
    thread::{self, JoinHandle},
    time::Instant,
};

use crossbeam::channel::{Receiver, Sender, bounded};
use geranium_decisions::picking::{BackendPicker, PickerHome};
use geranium_model::{Incarnation, MemberRow, MemberState};
use geranium_platform::{Endpoint, GatewaySettings, GatewayStore, PlatformStore};
use geranium_spread::{FleetCore, FleetSettings};
use slog::Logger;

use crate::{
    DataPort, NodeError, NodeMetrics, QuestionHandler,
    admin::{AdminParts, AdminPort, StatusCell},
    callers::{CallersParts, CallersPort, FrontEvent, FrontState},
    control::{ControlEvent, ControlLinks, ControlLoop, ControlParts, PlatformDuty, listen},
    guard::{GuardEvent, GuardLoop, GuardParts, StreamTable, start_canceller},
    link::LinkPool,
    settings::NodeSettings,
};

/// Crashes that may wait to be spread.
const CRASH_RING: usize = 256;

/// Ring ends that several parts share.
pub(crate) struct Rings {
    pub guard: (Sender<GuardEvent>, Receiver<GuardEvent>),
    pub control: (Sender<ControlEvent>, Receiver<ControlEvent>),
    pub front: (Sender<FrontEvent>, Receiver<FrontEvent>),
}

/// What every part of a starting node is made from.
pub(crate) struct NodeParts<'a> {
    pub settings: &'a NodeSettings,
    pub log: &'a Logger,
    pub origin: Instant,
    pub started: Incarnation,
    pub metrics: &'a Arc<NodeMetrics>,
}

impl NodeParts<'_> {
    pub fn start_guard(
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

    pub fn open_data(&self, rings: &Rings) -> Result<DataPort, NodeError> {
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

    pub fn start_control(
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

    pub fn start_callers(&self, rings: &Rings) -> Result<CallersPort, NodeError> {
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

    pub fn start_admin(
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

fn spawn(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, NodeError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
    thread.map_err(|error| setup(name, &error))
}

pub(crate) fn setup(part: &'static str, error: &impl ToString) -> NodeError {
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
