//! Decides about rollouts and writes their state to the store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use slog::{info, warn};
use tokio::time::timeout;

use super::{
    ComparisonSide, RolloutInputs, RolloutPhase, RolloutRecord, RolloutSource, StageChange,
    StageStep,
    decided_rollout::{DecidedRollout, SidedReport},
    order_book::KnownOrder,
    send_probe::send_probe,
};
use crate::{
    node_clock::NodeClock,
    node_core::NodeCore,
    store::{MetaStore, Revision},
};

/// Time between decisions about a rollout.
const DECISION_INTERVAL: Duration = Duration::from_millis(400);
/// Time that each data centre's relay leaves to those before it to take up a new order.
const START_STAGGER: Duration = Duration::from_millis(600);
/// Time without a response of the deciding node after which another one takes over.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// Another node that decides about a rollout.
#[derive(Debug)]
struct OtherDecider {
    peer_addr: SocketAddr,
    /// When it last responded, or was first seen to decide.
    responded_at: Duration,
}

/// Decides about rollouts until the node ends.
///
/// Any node that watches the store may decide. The relay of the first data centre that knows an
/// order takes it up. The others ask whether it still responds, and one of them takes over if it
/// doesn't. Each decision is a conditional write, so that of two nodes that both believe to
/// decide only one can.
pub async fn decide_rollouts(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: RolloutSource) {
    let mut task = RolloutTask {
        core: Rc::clone(&core),
        store,
        source,
        decided: HashMap::new(),
        others: HashMap::new(),
        status_revisions: HashMap::new(),
    };
    loop {
        if task.is_idle() {
            core.rollouts_changed.notified().await;
        } else {
            let _woken = timeout(DECISION_INTERVAL, core.rollouts_changed.notified()).await;
        }
        for service in task.services() {
            task.step(&service).await;
        }
        let decided = task.decided.keys().cloned().collect();
        *core.decided_rollouts.borrow_mut() = decided;
    }
}

/// State of the task that decides about rollouts.
#[derive(Debug)]
pub(super) struct RolloutTask<S> {
    pub(super) core: Rc<NodeCore>,
    pub(super) store: Rc<S>,
    pub(super) source: RolloutSource,
    decided: HashMap<String, DecidedRollout>,
    others: HashMap<String, OtherDecider>,
    /// Revisions of status documents; missing while not known.
    pub(super) status_revisions: HashMap<String, Revision>,
}

impl<S: MetaStore> RolloutTask<S> {
    fn is_idle(&self) -> bool {
        self.decided.is_empty() && self.services().is_empty()
    }

    /// Returns the services whose rollouts need attention.
    fn services(&self) -> Vec<String> {
        let orders = self.core.orders.borrow();
        let rollouts = self.core.rollouts.borrow();
        let open = orders.orders().filter(|known| {
            let record = rollouts.get(&known.order.service);
            let ended = |record: &RolloutRecord| {
                record.phase.is_terminal() && record.is_of(&known.order, known.revision)
            };
            !record.is_some_and(ended)
        });
        let open = open.map(|known| known.order.service.clone());
        let unsaved = rollouts.unsaved().map(|record| record.service.clone());
        let own = rollouts.decided_by(self.core.settings.peer_addr);
        let own = own.map(|record| record.service.clone());
        let services: HashSet<String> = open
            .chain(unsaved)
            .chain(own)
            .chain(self.decided.keys().cloned())
            .collect();
        services.into_iter().collect()
    }

    async fn step(&mut self, service: &str) {
        if !self.core.store_access.borrow().allows_calls() && !self.decided.contains_key(service) {
            return;
        }
        let order = self.core.orders.borrow().get(service).cloned();
        let record = self.core.rollouts.borrow().get(service).cloned();
        let own_addr = self.core.settings.peer_addr;
        match (order, record) {
            (_, Some(record)) if record.phase.is_terminal() && self.is_unsaved(service) => {
                self.commit(service, record).await;
            }
            (Some(order), Some(record)) if !record.is_of(&order.order, order.revision) => {
                self.decided.remove(service);
                self.start(service, &order).await;
            }
            (Some(order), None) => self.start(service, &order).await,
            (_, Some(record)) if record.phase.is_terminal() => {
                self.decided.remove(service);
            }
            (order, Some(record)) if record.decided_by == own_addr => {
                self.others.remove(service);
                self.decide(service, order, record).await;
            }
            (Some(_), Some(record)) => {
                self.decided.remove(service);
                self.watch_decider(service, record).await;
            }
            (None, _) => {
                self.decided.remove(service);
                self.others.remove(service);
            }
        }
    }

    fn is_unsaved(&self, service: &str) -> bool {
        let rollouts = self.core.rollouts.borrow();
        rollouts.unsaved().any(|record| record.service == service)
    }

    /// Takes up a new order, once the relays of earlier data centres have had the time to.
    async fn start(&mut self, service: &str, known: &KnownOrder) {
        let now = self.core.clock.now();
        if now < known.seen_at + START_STAGGER * self.core.data_centre_rank() {
            return;
        }
        let own_addr = self.core.settings.peer_addr;
        let ordered =
            RolloutRecord::ordered(&known.order, known.revision, NodeClock::unix_ms(), own_addr);
        let record = if self
            .core
            .fleet
            .borrow()
            .runs_only(service, &known.order.target)
        {
            RolloutRecord {
                phase: RolloutPhase::Completed,
                share: 1.0,
                reason: "the version is in force already".to_owned(),
                ..ordered
            }
        } else {
            ordered
        };
        self.commit(service, record).await;
    }

    /// Asks the deciding node whether it still decides, and takes over if it doesn't respond.
    async fn watch_decider(&mut self, service: &str, record: RolloutRecord) {
        let now = self.core.clock.now();
        let peer_addr = record.decided_by;
        let other = self
            .others
            .entry(service.to_owned())
            .or_insert(OtherDecider {
                peer_addr,
                responded_at: now,
            });
        if other.peer_addr != peer_addr {
            *other = OtherDecider {
                peer_addr,
                responded_at: now,
            };
        }
        let probe = self.probe_of(&record, false);
        let report = send_probe(Rc::clone(&self.core), peer_addr, probe).await;
        let now = self.core.clock.now();
        let Some(other) = self.others.get_mut(service) else {
            return;
        };
        if report.is_some_and(|report| report.decides) {
            other.responded_at = now;
            return;
        }
        let patience = TAKEOVER_TIME + START_STAGGER * self.core.data_centre_rank();
        if now < other.responded_at + patience {
            return;
        }
        warn!(self.core.log.logger(), "rollout taken over";
            "service" => service, "from" => %peer_addr, "phase" => %record.phase);
        let taken = RolloutRecord {
            decided_by: self.core.settings.peer_addr,
            ..record
        };
        self.commit(service, taken).await;
    }

    /// Gathers evidence and makes the decision that is due, if any.
    async fn decide(&mut self, service: &str, order: Option<KnownOrder>, record: RolloutRecord) {
        let now = self.core.clock.now();
        let Some(mut decided) = self.decided.remove(service).or_else(|| {
            DecidedRollout::resume(now, order.as_ref().map(|known| known.seen_at), &record)
        }) else {
            return;
        };
        if decided.entered != record {
            let Some(stage) = decided.stage.enter(now, &record) else {
                return;
            };
            decided.stage = stage;
            decided.entered = record.clone();
        }
        let reports = self.gather(&record).await;
        decided.compare(&self.core, &record, &reports);
        let inputs = self.inputs(&decided, &record, &reports);
        let step = decided.stage.next(self.core.clock.now(), &inputs);
        if let StageStep::Wait(reason) = &step {
            decided.record_wait(&self.core, &record, *reason, &inputs);
        }
        self.decided.insert(service.to_owned(), decided);
        if let StageStep::Change(change) = step {
            self.apply_change(service, record, change, &inputs).await;
        }
    }

    async fn apply_change(
        &mut self,
        service: &str,
        record: RolloutRecord,
        change: StageChange,
        inputs: &RolloutInputs,
    ) {
        info!(self.core.log.logger(), "rollout decided";
            "service" => service,
            "target" => %record.target,
            "from" => %record.phase,
            "to" => %change.phase,
            "share" => change.share,
            "reason" => &*change.reason,
            "runs" => inputs.verdict.target_runs,
            "bad" => inputs.verdict.target_bad,
            "failing" => inputs.verdict.failing,
            "judged" => inputs.verdict.judged,
            "target_slots" => inputs.target_slots,
            "current_slots" => inputs.current_slots);
        let elapsed = record.elapsed(NodeClock::unix_ms());
        let next = RolloutRecord {
            elapsed_ms: elapsed.as_millis() as u64,
            phase: change.phase,
            share: change.share,
            first: change.first,
            reason: change.reason,
            ..record
        };
        if next.phase == RolloutPhase::RolledBack {
            // Nodes beside the bad version refuse it from now on, even if the store is away.
            self.core.record_rollout(next.clone(), Revision(0));
            let targets = self.members(&next, ComparisonSide::Target);
            let probe = self.probe_of(&next, false);
            self.ask(targets, &probe).await;
        }
        self.commit(service, next).await;
    }

    fn inputs(
        &self,
        decided: &DecidedRollout,
        record: &RolloutRecord,
        reports: &[SidedReport],
    ) -> RolloutInputs {
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        let slots = fleet.slots_by_version(now, &record.service, &record.target);
        let drained: HashSet<SocketAddr> = reports
            .iter()
            .filter(|(_, _, report)| report.is_drained)
            .map(|(_, peer_addr, _)| *peer_addr)
            .collect();
        let mut current = self
            .members(record, ComparisonSide::Current)
            .into_iter()
            .peekable();
        RolloutInputs {
            target_slots: slots.target,
            warm_target_slots: slots.warm_target,
            current_slots: slots.current,
            target_servers: slots.target_servers,
            verdict: decided.verdict(&self.core, record),
            is_drained: record.phase == RolloutPhase::Drain
                && current.all(|peer_addr| drained.contains(&peer_addr)),
            order: self.core.orders.borrow().state(&record.service),
        }
    }
}
