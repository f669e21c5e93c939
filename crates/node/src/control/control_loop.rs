//! The thread that drives the fleet's state machine.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use geranium_model::{MemberRow, MemberState};
use geranium_spread::{ControlEnvelope, FleetAction, FleetCore};
use slog::{Logger, info, warn};

use super::{
    ControlEvent, ControlLinks, PlatformDuty,
    backend_watch::{BackendChange, BackendWatch},
};
use crate::{
    admin::{StatusCell, StatusReport},
    callers::FrontEvent,
    guard::GuardEvent,
    metrics::NodeMetrics,
};

/// Longest sleep without an event.
const IDLE_WAKE: Duration = Duration::from_millis(100);
/// How often the status for operators is renewed.
const STATUS_PERIOD: Duration = Duration::from_millis(100);
/// How often idle connections are looked for.
const CLOSE_PERIOD: Duration = Duration::from_secs(10);

/// What the control thread is made of.
#[derive(Debug)]
pub struct ControlParts {
    /// Own row before anything is known.
    pub own: MemberRow,
    /// Origin of the monotonic clock.
    pub origin: Instant,
    /// Time for which a started backend server counts as cold.
    pub warming: Duration,
    /// Events.
    pub events: Receiver<ControlEvent>,
    /// The guard.
    pub guard: Sender<GuardEvent>,
    /// The callers' thread.
    pub front: Sender<FrontEvent>,
    /// Connections to other nodes.
    pub links: ControlLinks,
    /// Calls to the platform.
    pub platform: PlatformDuty,
    /// Status for the admin port.
    pub status: Arc<StatusCell>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Log.
    pub log: Logger,
}

/// State of the control thread.
#[derive(Debug)]
pub struct ControlLoop {
    parts: ControlParts,
    core: FleetCore,
    backend: BackendWatch,
    actions: Vec<FleetAction>,
    node_draining: bool,
    status_due: Duration,
    close_due: Duration,
    refused: Option<String>,
    members_changed: bool,
    in_force_since_ms: u64,
}

impl ControlLoop {
    /// Makes the loop around a fresh core.
    pub fn new(parts: ControlParts, core: FleetCore) -> Self {
        Self {
            backend: BackendWatch::new(parts.warming),
            parts,
            core,
            actions: Vec::new(),
            node_draining: false,
            status_due: Duration::ZERO,
            close_due: CLOSE_PERIOD,
            refused: None,
            members_changed: true,
            in_force_since_ms: 0,
        }
    }

    /// Handles events until the ring is closed.
    pub fn run(mut self) {
        self.core.tick(self.now(), &mut self.actions);
        self.carry_out();
        loop {
            match self.parts.events.recv_timeout(self.wake_in()) {
                Ok(event) => {
                    let leaves = matches!(event, ControlEvent::Leave);
                    self.handle(event);
                    self.carry_out();
                    if leaves {
                        return;
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.show_status();
        }
    }

    fn now(&self) -> Duration {
        self.parts.origin.elapsed()
    }

    fn wake_in(&self) -> Duration {
        self.core
            .next_wake()
            .saturating_sub(self.now())
            .min(IDLE_WAKE)
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = self.now();
        match event {
            ControlEvent::Message(envelope) => {
                self.core.handle(now, *envelope, &mut self.actions);
            }
            ControlEvent::Platform(report) => {
                self.core.platform_report(now, *report, &mut self.actions);
            }
            ControlEvent::Announced(announcement) => {
                let change = self.backend.announced(now, announcement);
                self.change(change);
            }
            ControlEvent::Crashed(row) => self.core.report_crash(now, row, &mut self.actions),
            ControlEvent::Drain => {
                self.node_draining = true;
                self.set_state(MemberState::Draining);
            }
            ControlEvent::Leave => self.set_state(MemberState::Gone),
            ControlEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let change = self.backend.tick(now);
        self.change(change);
        self.core.tick(now, &mut self.actions);
        self.carry_out();
        if now >= self.close_due {
            self.parts.links.close_idle();
            self.close_due = now + CLOSE_PERIOD;
        }
    }

    fn change(&mut self, change: Option<BackendChange>) {
        let Some(change) = change else { return };
        if let Some(notice) = change.notice {
            // The guard must know a new backend server before any other node
            // sends it work, and that it leaves before any other node stops.
            let _ = self.parts.guard.send(GuardEvent::Backend(notice));
        }
        // A node that leaves stays draining whatever its backend server says.
        let state = if self.node_draining {
            MemberState::Draining
        } else {
            change.state
        };
        let now = self.now();
        self.core
            .set_state(now, state, change.service, change.slots, &mut self.actions);
    }

    fn own(&self) -> MemberRow {
        let known = self.core.member(&self.parts.own.instance);
        known.unwrap_or(&self.parts.own).clone()
    }

    fn set_state(&mut self, state: MemberState) {
        let own = self.own();
        let (service, slots) = (own.service, own.slots);
        let now = self.now();
        self.core
            .set_state(now, state, service, slots, &mut self.actions);
    }

    /// Carries out what the core decided.
    fn carry_out(&mut self) {
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: FleetAction) {
        match action {
            FleetAction::Send { to, addr, message } => {
                let own = &self.parts.own;
                let envelope = ControlEnvelope {
                    from: own.instance.clone(),
                    from_addr: own.control_addr,
                    message,
                };
                if !self.parts.links.send(addr, &envelope.encode()) {
                    self.core.send_failed(self.now(), &to);
                }
            }
            FleetAction::Platform(call) => self.parts.platform.submit(call),
            FleetAction::ConfigChanged { in_force, preset } => {
                info!(self.parts.log, "preset in force";
                    "version" => in_force.version.get(), "preset" => %in_force.preset);
                self.parts.metrics.version(in_force.version.get());
                self.in_force_since_ms = wall_clock_ms();
                self.parts.status.set_preset(&in_force, &preset);
                let _ = self
                    .parts
                    .guard
                    .send(GuardEvent::Preset(Arc::clone(&preset)));
                let _ = self.parts.front.send(FrontEvent::Preset(in_force, preset));
            }
            FleetAction::MemberChanged(row) => {
                self.members_changed = true;
                let _ = self.parts.front.send(FrontEvent::Member(row));
            }
            FleetAction::MemberGone(instance) => {
                self.members_changed = true;
                let _ = self.parts.front.send(FrontEvent::Gone(instance));
            }
            FleetAction::CrashHeard(row) => {
                let _ = self.parts.guard.send(GuardEvent::Crash(row));
            }
            FleetAction::ConfigRefused {
                version,
                code,
                reason,
            } => {
                warn!(self.parts.log, "configuration refused";
                    "version" => version.get(), "code" => code.number(), "reason" => &reason);
                self.refused = Some(format!("version {version}: [{}] {reason}", code.number()));
            }
        }
    }

    fn show_status(&mut self) {
        let now = self.now();
        if now < self.status_due {
            return;
        }
        self.status_due = now + STATUS_PERIOD;
        let own = self.own();
        // Copied only after a change: with many members a copy is the dearest
        // thing this thread would do.
        let members = self
            .members_changed
            .then(|| self.core.members().cloned().collect());
        self.members_changed = false;
        let in_force = self.core.in_force().map(|(in_force, _)| in_force.clone());
        let report = StatusReport {
            instance: own.instance.to_string(),
            data_centre: own.data_centre.to_string(),
            region: own.region.to_string(),
            state: own.state,
            service: own.service.clone(),
            version: in_force.as_ref().map_or(0, |record| record.version.get()),
            preset: in_force.as_ref().map(|record| record.preset.to_string()),
            in_force_since_ms: self.in_force_since_ms,
            digest: in_force.as_ref().map(|record| record.digest.to_string()),
            started: own.started.get(),
            incarnation: own.incarnation.get(),
            members: self.core.members().count(),
            takers: self
                .core
                .members()
                .filter(|row| row.state.takes_work())
                .count(),
            links: self.core.links().iter().map(ToString::to_string).collect(),
            is_watcher: self.core.is_watcher(),
            refused: self.refused.clone(),
            counters: counters(&self.core),
        };
        self.parts.status.set(report, members);
    }
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn counters(core: &FleetCore) -> serde_json::Value {
    let counters = core.counters();
    serde_json::json!({
        "platform_calls": counters.platform_calls,
        "platform_watches": counters.platform_watches,
        "platform_failures": counters.platform_failures,
        "stale_versions": counters.stale_versions,
        "bad_documents": counters.bad_documents,
        "missed_deltas": counters.missed_deltas,
        "suspected": counters.suspected,
        "refuted": counters.refuted,
    })
}
