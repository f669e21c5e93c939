//! Injects planned faults into a fleet.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use geranium_standins::{EndpointFault, KvCopy, KvFault};
use tokio::{task::JoinHandle, time::sleep};

use super::{FaultKind, FaultSpan, PlannedFault, version_probe::ProbeRecords};
use crate::{
    LinkFault, LinkProxy, NoticeKind, ProcessSignal, RigEndpoint, RigError, RigFleet, RigNode,
};

/// Delay that a slow link adds.
const LINK_DELAY: Duration = Duration::from_millis(80);
/// Delay that a slow store adds.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Delay after which the store executes late writes.
const STORE_WRITE_DELAY: Duration = Duration::from_millis(1_200);
/// Factor by which slow backend servers take longer.
const SLOWDOWN_FACTOR: u32 = 8;
/// Requests per second that a limited backend server takes; it gets several times that otherwise.
const LIMIT_PER_S: f64 = 1.0;
/// Longest time that a draining backend server waits for its acknowledgment.
const DRAIN_ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a backend server serves after that, slightly more than nodes may
/// need to stop sending.
const DRAIN_SERVE_TIME: Duration = Duration::from_millis(2_600);
/// Number of times that a heartbeat from before a leaving arrives late.
const LATE_HEARTBEATS: usize = 11;
/// Interval between them.
const LATE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);
/// Time from the request to terminate to the kill.
const TERMINATE_GRACE: Duration = Duration::from_secs(6);
/// Values that another program writes to the store: bytes that aren't text, a
/// truncated announcement, fields of other types, and other JSON.
const FOREIGN_VALUES: [&[u8]; 4] = [
    b"\xff\xfe\x00",
    br#"{"hop":"127.0.0.1:1","start":{"instance":"i-x"#,
    br#"{"hop":7,"start":[],"service":null,"state":"odd"}"#,
    b"[[[[1]]]]",
];
/// Interval between copies of the store.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Most copies kept; the store is restored from one that is some seconds old.
const COPIES_MAX: usize = 4;
/// Interval between versions during a configuration storm.
const STORM_INTERVAL: Duration = Duration::from_millis(200);

/// Injects faults into a fleet, and records when each took place.
#[derive(Debug)]
pub(super) struct FaultInjector {
    records: Arc<ProbeRecords>,
    spans: Vec<FaultSpan>,
    tasks: Vec<JoinHandle<()>>,
    /// Nodes asked to terminate, with the time at which they are killed.
    terminating: Vec<(usize, Instant)>,
    /// Number of active faults that keep each node down.
    held_down: Vec<u32>,
    config_storms: u32,
    published_at: Instant,
    /// Copies of the store, oldest first.
    copies: VecDeque<KvCopy>,
    copied_at: Instant,
}

impl FaultInjector {
    pub(super) fn new(nodes: usize, records: Arc<ProbeRecords>) -> Self {
        Self {
            records,
            spans: Vec::new(),
            tasks: Vec::new(),
            terminating: Vec::new(),
            held_down: vec![0; nodes],
            config_storms: 0,
            published_at: Instant::now(),
            copies: VecDeque::new(),
            copied_at: Instant::now(),
        }
    }

    /// Starts a fault.
    pub(super) fn begin(&mut self, fleet: &mut RigFleet, fault: &PlannedFault) {
        let now = Instant::now();
        self.spans.push(FaultSpan {
            kind: fault.kind,
            targets: fault.targets.clone(),
            from: now,
            to: now + Duration::from_millis(fault.end_ms - fault.start_ms),
        });
        self.apply(fleet, fault, true);
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, fleet: &mut RigFleet, fault: &PlannedFault) {
        self.apply(fleet, fault, false);
        let same = |span: &&mut FaultSpan| {
            span.kind == fault.kind && span.targets == fault.targets && span.to > Instant::now()
        };
        if let Some(span) = self.spans.iter_mut().find(same) {
            span.to = Instant::now();
        }
    }

    /// Does the work that is due between faults: kills nodes that don't terminate,
    /// restarts nodes that have exited, copies the store, and publishes versions during
    /// a configuration storm.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started.
    pub(super) fn advance(&mut self, fleet: &mut RigFleet) -> Result<(), RigError> {
        let now = Instant::now();
        self.terminating.retain(|(node, at)| {
            if now >= *at {
                fleet.nodes[*node].kill();
            }
            now < *at
        });
        for (number, node) in fleet.nodes.iter_mut().enumerate() {
            if !node.is_running() && self.held_down[number] == 0 {
                self.terminating
                    .retain(|(terminating, _)| *terminating != number);
                node.start_process()?;
            }
        }
        if self.copies.is_empty() || self.copied_at.elapsed() >= COPY_INTERVAL {
            self.copied_at = now;
            self.copies.push_back(fleet.store.state().copy());
            if self.copies.len() > COPIES_MAX {
                self.copies.pop_front();
            }
        }
        if self.config_storms > 0 && self.published_at.elapsed() >= STORM_INTERVAL {
            self.publish(fleet);
        }
        Ok(())
    }

    /// Whether a process that was asked to terminate hasn't been restarted yet.
    pub(super) fn has_terminating_nodes(&self) -> bool {
        !self.terminating.is_empty()
    }

    /// Waits for the tasks that drain backend servers or post foreign heartbeats.
    pub(super) async fn finish(&mut self) {
        for task in self.tasks.drain(..) {
            // A panic in a task shows in the recovery check.
            let _ended = task.await;
        }
    }

    /// Returns the time spans of all faults.
    pub(super) fn into_spans(self) -> Vec<FaultSpan> {
        self.spans
    }

    fn publish(&mut self, fleet: &mut RigFleet) {
        self.published_at = Instant::now();
        let version = fleet.publish();
        self.records.publish(version);
    }

    fn apply(&mut self, fleet: &mut RigFleet, fault: &PlannedFault, begins: bool) {
        match fault.kind {
            FaultKind::NodeKill => self.hold_down(fleet, &fault.targets, begins),
            FaultKind::HerdKill => {
                let all: Vec<usize> = (0..fleet.nodes.len()).collect();
                self.hold_down(fleet, &all, begins);
            }
            FaultKind::NodeTerminate if begins => self.terminate(fleet, &fault.targets),
            FaultKind::NodePause => {
                let signal = if begins {
                    ProcessSignal::Stop
                } else {
                    ProcessSignal::Continue
                };
                signal_nodes(fleet, &fault.targets, signal);
            }
            FaultKind::NodeHangup => signal_nodes(fleet, &fault.targets, ProcessSignal::Hangup),
            FaultKind::EndpointLeave if begins => self.drain_endpoints(fleet, &fault.targets),
            FaultKind::ForeignWriter if begins => self.write_foreign_values(fleet, &fault.targets),
            FaultKind::EndpointLeavesMisleadingly => {
                self.leave_misleadingly(fleet, &fault.targets, begins);
            }
            FaultKind::NodeTerminate | FaultKind::EndpointLeave | FaultKind::ForeignWriter => {}
            FaultKind::StoreCopy if begins => fleet.store.set_faults(KvFault::Reset),
            FaultKind::StoreCopy => self.restore_store(fleet),
            FaultKind::ConfigStorm => {
                self.config_storms =
                    self.config_storms
                        .saturating_add_signed(if begins { 1 } else { -1 });
                self.publish(fleet);
            }
            kind if apply_link_fault(fleet, kind, &fault.targets, begins) => {}
            kind if apply_endpoint_fault(fleet, kind, &fault.targets, begins) => {}
            kind => apply_store_fault(fleet, kind, &fault.targets, begins),
        }
    }

    /// Restores the store from its oldest copy. Operators write again what is missing.
    fn restore_store(&self, fleet: &RigFleet) {
        if let Some(copy) = self.copies.front() {
            let mut state = fleet.store.state();
            for (key, value) in state.restore_from(copy.clone()) {
                state.operator_put(&key, &value);
            }
        }
        fleet.store.set_faults(KvFault::Sound);
    }

    fn hold_down(&mut self, fleet: &mut RigFleet, targets: &[usize], begins: bool) {
        for &target in targets {
            if begins {
                self.held_down[target] += 1;
                fleet.nodes[target].kill();
            } else {
                self.held_down[target] = self.held_down[target].saturating_sub(1);
            }
        }
    }

    fn terminate(&mut self, fleet: &mut RigFleet, targets: &[usize]) {
        signal_nodes(fleet, targets, ProcessSignal::Terminate);
        let at = Instant::now() + TERMINATE_GRACE;
        self.terminating
            .extend(targets.iter().map(|&target| (target, at)));
    }

    /// Overwrites announcements with invalid values, adds others beside them, and
    /// posts heartbeats that no backend server sent.
    fn write_foreign_values(&mut self, fleet: &RigFleet, targets: &[usize]) {
        for &target in targets {
            let node = &fleet.nodes[target];
            let key = node.announcement_key();
            let mut state = fleet.store.state();
            for (number, value) in FOREIGN_VALUES.iter().enumerate() {
                state.operator_put(&format!("geranium/member/foreign-{number}"), value);
                state.operator_put(key.as_str(), value);
            }
            drop(state);
            let endpoint = Arc::clone(&node.endpoint);
            self.tasks
                .push(tokio::spawn(async move { endpoint.post_foreign().await }));
        }
    }

    /// Begins the leaving of backend servers, and later kills the nodes beside them.
    fn leave_misleadingly(&mut self, fleet: &mut RigFleet, targets: &[usize], begins: bool) {
        for &target in targets {
            let node = &mut fleet.nodes[target];
            if !begins {
                node.kill();
            } else if node.endpoint.is_running() {
                let endpoint = Arc::clone(&node.endpoint);
                self.tasks.push(tokio::spawn(leave_misleadingly(endpoint)));
            }
        }
    }

    fn drain_endpoints(&mut self, fleet: &RigFleet, targets: &[usize]) {
        for &target in targets {
            let endpoint = Arc::clone(&fleet.nodes[target].endpoint);
            if endpoint.is_running() {
                self.tasks.push(tokio::spawn(drain_and_replace(endpoint)));
            }
        }
    }
}

/// Deregisters a backend server that serves on, sends an earlier heartbeat late and several times, and
/// replaces the server.
async fn leave_misleadingly(endpoint: Arc<RigEndpoint>) {
    let late = endpoint.held_heartbeat();
    endpoint.deregister_first(DRAIN_ACK_TIMEOUT).await;
    for _ in 0..LATE_HEARTBEATS {
        sleep(LATE_HEARTBEAT_INTERVAL).await;
        endpoint.post_late(&late).await;
    }
    endpoint.deregister().await;
    endpoint.restart_new_identifier();
}

async fn drain_and_replace(endpoint: Arc<RigEndpoint>) {
    endpoint.drain(DRAIN_ACK_TIMEOUT).await;
    sleep(DRAIN_SERVE_TIME).await;
    endpoint.deregister().await;
    endpoint.restart_new_identifier();
}

fn signal_nodes(fleet: &mut RigFleet, targets: &[usize], signal: ProcessSignal) {
    for &target in targets {
        fleet.nodes[target].signal(signal);
    }
}

/// Applies or ends a link fault; returns `false` for faults of another kind.
fn apply_link_fault(fleet: &RigFleet, kind: FaultKind, targets: &[usize], begins: bool) -> bool {
    let link: fn(&RigNode) -> &LinkProxy = match kind {
        FaultKind::EndpointReset | FaultKind::EndpointMute => |node| &node.endpoint_link,
        FaultKind::StoreCut | FaultKind::StoreMute => |node| &node.store_link,
        _ => |node| &node.peer_link,
    };
    let fault = match kind {
        FaultKind::HopDelay => LinkFault::Delay(LINK_DELAY),
        FaultKind::HopReset | FaultKind::EndpointReset => LinkFault::Reset,
        FaultKind::HopCut | FaultKind::StoreCut => LinkFault::Cut,
        FaultKind::HopCutTowards => LinkFault::CutTowards,
        FaultKind::HopCutFrom => LinkFault::CutFrom,
        FaultKind::HopMute | FaultKind::EndpointMute | FaultKind::StoreMute => {
            if begins {
                let muted = targets.iter().map(|&target| link(&fleet.nodes[target]));
                muted.for_each(LinkProxy::mute_open);
            }
            return true;
        }
        _ => return false,
    };
    let fault = if begins { fault } else { LinkFault::Sound };
    for &target in targets {
        link(&fleet.nodes[target]).set_fault(fault);
    }
    true
}

/// Applies or ends a backend server fault; returns `false` for faults of another
/// kind.
fn apply_endpoint_fault(
    fleet: &RigFleet,
    kind: FaultKind,
    targets: &[usize],
    begins: bool,
) -> bool {
    let fault = match kind {
        FaultKind::EndpointSheds => EndpointFault::Sheds,
        FaultKind::EndpointFails => EndpointFault::Fails,
        FaultKind::EndpointLosesAnswers => EndpointFault::LosesAnswer,
        FaultKind::EndpointCrossesAnswers => EndpointFault::CrossesAnswer,
        FaultKind::EndpointCrash | FaultKind::EndpointReturn | FaultKind::EndpointSlow => {
            EndpointFault::Sound
        }
        FaultKind::EndpointLimits | FaultKind::EndpointSaysLeaving => EndpointFault::Sound,
        _ => return false,
    };
    for &target in targets {
        let endpoint = &fleet.nodes[target].endpoint;
        match (kind, begins) {
            (FaultKind::EndpointCrash | FaultKind::EndpointReturn, true) => endpoint.crash(),
            (FaultKind::EndpointReturn, false) => endpoint.restart_same_identifier(),
            (FaultKind::EndpointCrash | FaultKind::EndpointSaysLeaving, false) => {
                endpoint.restart_new_identifier();
            }
            (FaultKind::EndpointLimits, true) => {
                endpoint.begin_notice(NoticeKind::Limit(LIMIT_PER_S));
            }
            (FaultKind::EndpointSaysLeaving, true) => endpoint.begin_notice(NoticeKind::Leaving),
            (FaultKind::EndpointLimits, false) => endpoint.end_notices(),
            (FaultKind::EndpointSlow, true) => endpoint.slow_down(SLOWDOWN_FACTOR),
            (FaultKind::EndpointSlow, false) => endpoint.slow_down(1),
            (_, true) => endpoint.set_fault(fault),
            (_, false) => endpoint.set_fault(EndpointFault::Sound),
        }
    }
    true
}

fn apply_store_fault(fleet: &RigFleet, kind: FaultKind, targets: &[usize], begins: bool) {
    let store = &fleet.store;
    let fault = match kind {
        FaultKind::StoreBusy => KvFault::Busy,
        FaultKind::StoreSilent => KvFault::Silent,
        FaultKind::StoreLost => KvFault::Lost,
        FaultKind::StoreLate => KvFault::Late(STORE_WRITE_DELAY),
        FaultKind::StoreSlow => KvFault::Slow(STORE_DELAY),
        FaultKind::StoreForgets => KvFault::SilentWatches,
        FaultKind::StoreGarbles => KvFault::Garbled,
        FaultKind::StoreTurnsAway => {
            let fault = if begins {
                KvFault::Limited
            } else {
                KvFault::Sound
            };
            for &target in targets {
                store.set_fault(target, fault);
            }
            return;
        }
        FaultKind::StoreRevokes => {
            if begins {
                revoke_announcements(fleet, targets);
            }
            return;
        }
        _ => KvFault::Sound,
    };
    store.set_faults(if begins { fault } else { KvFault::Sound });
    match (kind, begins) {
        (FaultKind::StoreSilent, true) => store.state().expire_leases(),
        (FaultKind::StoreForgets, false) => store.state().compact(),
        _ => {}
    }
}

fn revoke_announcements(fleet: &RigFleet, targets: &[usize]) {
    let mut state = fleet.store.state();
    for &target in targets {
        state.remove_key(fleet.nodes[target].announcement_key().as_str());
    }
}
