//! Carries out faults.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use geranium_standins::{EndpointFault, KvCopy, KvFault};
use tokio::{task::JoinHandle, time::sleep};

use super::{FaultKind, FaultSpan, PlannedFault, version_probe::ProbeBoard};
use crate::{LinkFault, LinkProxy, ProcessSignal, RigEndpoint, RigError, RigFleet, RigNode};

/// Delay of a slow link.
const LINK_DELAY: Duration = Duration::from_millis(80);
/// Delay of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(250);
/// Time after which late writes of the store are done.
const STORE_LATE: Duration = Duration::from_millis(1_200);
/// How many times slower slow backend servers are.
const SLOW_TIMES: u32 = 8;
/// Longest wait of a leaving backend server for its acknowledgment.
const LEAVE_PATIENCE: Duration = Duration::from_secs(4);
/// Time for which it serves after that, a little more than nodes may need.
const LEAVE_SERVES: Duration = Duration::from_millis(2_600);
/// Time from the signal to end to the kill.
const GRACE: Duration = Duration::from_secs(6);
/// What another writer leaves in the store: no text, an announcement's beginning,
/// fields of another type, another kind of text.
const FOREIGN_VALUES: [&[u8]; 4] = [
    b"\xff\xfe\x00",
    br#"{"hop":"127.0.0.1:1","start":{"instance":"i-x"#,
    br#"{"hop":7,"start":[],"service":null,"state":"odd"}"#,
    b"[[[[1]]]]",
];
/// Time between copies of the store.
const COPY_GAP: Duration = Duration::from_secs(1);
/// Copies that are kept: the store comes back from one some seconds old.
const COPIES_KEPT: usize = 4;
/// Time between versions in a storm.
const STORM_GAP: Duration = Duration::from_millis(200);

/// Carries out faults on a fleet, and notes when they took place.
#[derive(Debug)]
pub(super) struct FaultActor {
    board: Arc<ProbeBoard>,
    spans: Vec<FaultSpan>,
    leaving: Vec<JoinHandle<()>>,
    /// Nodes to be killed unless they have ended by then.
    ending: Vec<(usize, Instant)>,
    /// Nodes held down, with the number of faults that hold each.
    held: Vec<u32>,
    storms: u32,
    stormed: Instant,
    /// Copies of the store, the oldest first.
    copies: VecDeque<KvCopy>,
    copied: Instant,
}

impl FaultActor {
    pub(super) fn new(nodes: usize, board: Arc<ProbeBoard>) -> Self {
        Self {
            board,
            spans: Vec::new(),
            leaving: Vec::new(),
            ending: Vec::new(),
            held: vec![0; nodes],
            storms: 0,
            stormed: Instant::now(),
            copies: VecDeque::new(),
            copied: Instant::now(),
        }
    }

    /// Begins a fault.
    pub(super) fn begin(&mut self, fleet: &mut RigFleet, fault: &PlannedFault) {
        let now = Instant::now();
        self.spans.push(FaultSpan {
            kind: fault.kind,
            targets: fault.targets.clone(),
            from: now,
            to: now + Duration::from_millis(fault.end_ms - fault.start_ms),
        });
        self.set(fleet, fault, true);
    }

    /// Ends a fault.
    pub(super) fn end(&mut self, fleet: &mut RigFleet, fault: &PlannedFault) {
        self.set(fleet, fault, false);
        let same = |span: &&mut FaultSpan| {
            span.kind == fault.kind && span.targets == fault.targets && span.to > Instant::now()
        };
        if let Some(span) = self.spans.iter_mut().find(same) {
            span.to = Instant::now();
        }
    }

    /// Does what is due between faults: kills what doesn't end, starts again
    /// what has ended, and publishes while the configuration storms.
    ///
    /// # Errors
    ///
    /// When a process can't be started.
    pub(super) fn tend(&mut self, fleet: &mut RigFleet) -> Result<(), RigError> {
        let now = Instant::now();
        self.ending.retain(|(node, at)| {
            if now >= *at {
                fleet.nodes[*node].kill();
            }
            now < *at
        });
        for (number, node) in fleet.nodes.iter_mut().enumerate() {
            if !node.is_running() && self.held[number] == 0 {
                self.ending.retain(|(ending, _)| *ending != number);
                node.start_process()?;
            }
        }
        if self.copies.is_empty() || self.copied.elapsed() >= COPY_GAP {
            self.copied = now;
            self.copies.push_back(fleet.store.state().copy());
            if self.copies.len() > COPIES_KEPT {
                self.copies.pop_front();
            }
        }
        if self.storms > 0 && self.stormed.elapsed() >= STORM_GAP {
            self.publish(fleet);
        }
        Ok(())
    }

    /// Whether a process that was told to stop has yet to end and to be started again.
    pub(super) fn is_ending(&self) -> bool {
        !self.ending.is_empty()
    }

    /// Waits for backend servers that are leaving.
    pub(super) async fn finish(&mut self) {
        for leaving in self.leaving.drain(..) {
            // One that panicked shows in the recovery.
            let _ended = leaving.await;
        }
    }

    /// Returns the faults as they took place.
    pub(super) fn into_spans(self) -> Vec<FaultSpan> {
        self.spans
    }

    fn publish(&mut self, fleet: &mut RigFleet) {
        self.stormed = Instant::now();
        let version = fleet.publish();
        self.board.publish(version);
    }

    fn set(&mut self, fleet: &mut RigFleet, fault: &PlannedFault, begins: bool) {
        match fault.kind {
            FaultKind::NodeKill => self.hold(fleet, &fault.targets, begins),
            FaultKind::HerdKill => {
                let all: Vec<usize> = (0..fleet.nodes.len()).collect();
                self.hold(fleet, &all, begins);
            }
            FaultKind::NodeTerminate if begins => self.terminate(fleet, &fault.targets),
            FaultKind::NodePause => {
                let signal = if begins {
                    ProcessSignal::Stop
                } else {
                    ProcessSignal::Continue
                };
                signal_all(fleet, &fault.targets, signal);
            }
            FaultKind::NodeHangup => signal_all(fleet, &fault.targets, ProcessSignal::Hangup),
            FaultKind::EndpointLeave if begins => self.leave(fleet, &fault.targets),
            FaultKind::ForeignWriter if begins => self.write_foreign(fleet, &fault.targets),
            FaultKind::NodeTerminate | FaultKind::EndpointLeave | FaultKind::ForeignWriter => {}
            FaultKind::StoreCopy if begins => fleet.store.set_faults(KvFault::Reset),
            FaultKind::StoreCopy => self.come_back(fleet),
            FaultKind::ConfigStorm => {
                self.storms = self
                    .storms
                    .saturating_add_signed(if begins { 1 } else { -1 });
                self.publish(fleet);
            }
            kind if set_link(fleet, kind, &fault.targets, begins) => {}
            kind if set_endpoint(fleet, kind, &fault.targets, begins) => {}
            kind => set_store(fleet, kind, &fault.targets, begins),
        }
    }

    /// Lets the store come back from its oldest copy. Operators write again what is missing.
    fn come_back(&self, fleet: &RigFleet) {
        if let Some(copy) = self.copies.front() {
            let mut state = fleet.store.state();
            for (key, value) in state.restore_from(copy.clone()) {
                state.operator_put(&key, &value);
            }
        }
        fleet.store.set_faults(KvFault::Sound);
    }

    fn hold(&mut self, fleet: &mut RigFleet, targets: &[usize], begins: bool) {
        for &target in targets {
            if begins {
                self.held[target] += 1;
                fleet.nodes[target].kill();
            } else {
                self.held[target] = self.held[target].saturating_sub(1);
            }
        }
    }

    fn terminate(&mut self, fleet: &mut RigFleet, targets: &[usize]) {
        signal_all(fleet, targets, ProcessSignal::Terminate);
        let at = Instant::now() + GRACE;
        self.ending
            .extend(targets.iter().map(|&target| (target, at)));
    }

    /// Writes what is no announcement in the place of members' and beside them,
    /// and posts heartbeats that no backend server sent.
    fn write_foreign(&mut self, fleet: &RigFleet, targets: &[usize]) {
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
            self.leaving
                .push(tokio::spawn(async move { endpoint.post_foreign().await }));
        }
    }

    fn leave(&mut self, fleet: &RigFleet, targets: &[usize]) {
        for &target in targets {
            let endpoint = Arc::clone(&fleet.nodes[target].endpoint);
            if endpoint.lives() {
                self.leaving.push(tokio::spawn(leave_and_return(endpoint)));
            }
        }
    }
}

async fn leave_and_return(endpoint: Arc<RigEndpoint>) {
    endpoint.leave(LEAVE_PATIENCE).await;
    sleep(LEAVE_SERVES).await;
    endpoint.deregister().await;
    endpoint.come_back();
}

fn signal_all(fleet: &mut RigFleet, targets: &[usize], signal: ProcessSignal) {
    for &target in targets {
        fleet.nodes[target].signal(signal);
    }
}

/// Sets a fault of links; `false` when the kind is none.
fn set_link(fleet: &RigFleet, kind: FaultKind, targets: &[usize], begins: bool) -> bool {
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

/// Sets a fault of backend servers; `false` when the kind is none.
fn set_endpoint(fleet: &RigFleet, kind: FaultKind, targets: &[usize], begins: bool) -> bool {
    let fault = match kind {
        FaultKind::EndpointSheds => EndpointFault::Sheds,
        FaultKind::EndpointFails => EndpointFault::Fails,
        FaultKind::EndpointLosesAnswers => EndpointFault::LosesAnswer,
        FaultKind::EndpointCrossesAnswers => EndpointFault::CrossesAnswer,
        FaultKind::EndpointCrash | FaultKind::EndpointReturn | FaultKind::EndpointSlow => {
            EndpointFault::Sound
        }
        _ => return false,
    };
    for &target in targets {
        let endpoint = &fleet.nodes[target].endpoint;
        match (kind, begins) {
            (FaultKind::EndpointCrash | FaultKind::EndpointReturn, true) => endpoint.crash(),
            (FaultKind::EndpointReturn, false) => endpoint.come_back_as_before(),
            (FaultKind::EndpointCrash, false) => endpoint.come_back(),
            (FaultKind::EndpointSlow, true) => endpoint.slow_down(SLOW_TIMES),
            (FaultKind::EndpointSlow, false) => endpoint.slow_down(1),
            (_, true) => endpoint.set_fault(fault),
            (_, false) => endpoint.set_fault(EndpointFault::Sound),
        }
    }
    true
}

fn set_store(fleet: &RigFleet, kind: FaultKind, targets: &[usize], begins: bool) {
    let store = &fleet.store;
    let fault = match kind {
        FaultKind::StoreBusy => KvFault::Busy,
        FaultKind::StoreSilent => KvFault::Silent,
        FaultKind::StoreLost => KvFault::Lost,
        FaultKind::StoreLate => KvFault::Late(STORE_LATE),
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
                revoke(fleet, targets);
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

fn revoke(fleet: &RigFleet, targets: &[usize]) {
    let mut state = fleet.store.state();
    for &target in targets {
        state.revoke(fleet.nodes[target].announcement_key().as_str());
    }
}
