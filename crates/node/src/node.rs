//! The node's life: it starts, serves, drains and ends.
//!
//! Each stage is a type of its own, so that a node that isn't serving can't be
//! drained and one that drains can't start to serve again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{Sender, bounded};
use geranium_model::Incarnation;
use slog::{Logger, info, warn};

use crate::{
    DataPort, NodeError, NodeMetrics,
    admin::{AdminPort, StatusCell},
    callers::{CallersPort, FrontEvent},
    control::ControlEvent,
    guard::{GuardEvent, StreamTable},
    node_parts::{NodeParts, Rings, setup},
    settings::NodeSettings,
    timer::TimerHub,
};

/// Events that may wait for each thread. A full ring refuses requests at once,
/// and drops control messages, which digests repair.
const GUARD_RING: usize = 4_096;
const CONTROL_RING: usize = 4_096;
const FRONT_RING: usize = 16_384;
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

/// Takes the first incarnation from the wall clock.
fn wall_clock() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::new(since.as_millis() as u64)
}
