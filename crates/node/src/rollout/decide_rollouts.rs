//! Decides about rollouts and writes their state to the store.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use slog::{error, info, warn};
use tokio::{task::JoinSet, time::timeout};

use super::{
    ComparisonSide, ComparisonVerdict, ROLLOUT_PATH, RolloutInputs, RolloutPhase, RolloutProbe,
    RolloutRecord, RolloutReport, RolloutSource, RolloutStage, RunCounts, StageChange, StageStep,
    VersionComparison, WaitReason, first_targets, order_book::KnownOrder, rollout_key,
};
use crate::{
    member::EndpointStart,
    node_clock::NodeClock,
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency, Revision, StoreError, StoreWrite},
    transport::PeerCall,
};

/// Time between decisions about a rollout.
const DECISION_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a question to another node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that each data centre's relay leaves to those before it to take up a new order.
const START_STAGGER: Duration = Duration::from_millis(600);
/// Time without a response of the deciding node after which another one takes over.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);
/// Largest number of backend servers of the current version whose runs are compared.
const BASELINE_SERVERS_MAX: usize = 12;
/// Largest number of backend servers of the target version that are asked in one round.
const TARGET_SERVERS_MAX: usize = 64;

/// A rollout about which this node decides.
#[derive(Debug)]
struct DecidedRollout {
    stage: RolloutStage,
    /// Record in the store when the stage was entered.
    entered: RolloutRecord,
    comparison: VersionComparison,
    /// Why the rollout last stayed in its stage.
    waits_for: Option<WaitReason>,
    /// Counts of runs in the last report of each node.
    counts: HashMap<SocketAddr, (Option<EndpointStart>, HashMap<u64, RunCounts>)>,
}

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
/// order takes it up. The others ask whether it still lives, and one of them takes over if it
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

struct RolloutTask<S> {
    core: Rc<NodeCore>,
    store: Rc<S>,
    source: RolloutSource,
    decided: HashMap<String, DecidedRollout>,
    others: HashMap<String, OtherDecider>,
    /// Revisions of status documents; missing while not known.
    status_revisions: HashMap<String, Revision>,
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
        let services: HashSet<String> = open
            .chain(unsaved)
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

    /// Asks the deciding node whether it still lives, and takes over if it doesn't.
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
        let Some(mut decided) = self
            .decided
            .remove(service)
            .or_else(|| resumed(now, order.as_ref().map(|known| known.seen_at), &record))
        else {
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
        let inputs = self.inputs(&decided, &record, &reports, order.is_none());
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

    fn probe_of(&self, record: &RolloutRecord, wants_counts: bool) -> RolloutProbe {
        RolloutProbe {
            record: record.clone(),
            revision: self
                .core
                .rollouts
                .borrow()
                .saved_revision(&record.service)
                .0,
            wants_counts,
        }
    }

    /// Asks nodes beside backend servers of the service for their runs.
    async fn gather(
        &self,
        record: &RolloutRecord,
    ) -> Vec<(ComparisonSide, SocketAddr, RolloutReport)> {
        if record.phase == RolloutPhase::Ordered {
            return Vec::new();
        }
        let mut targets = self.members(record, ComparisonSide::Target);
        targets.truncate(TARGET_SERVERS_MAX);
        let mut current = self.members(record, ComparisonSide::Current);
        if record.phase != RolloutPhase::Drain {
            current.truncate(BASELINE_SERVERS_MAX);
        }
        let probe = self.probe_of(record, true);
        let asked: HashSet<SocketAddr> = targets.iter().copied().collect();
        targets.extend(current);
        let reports = self.ask(targets, &probe).await;
        let with_sides = reports.into_iter().map(|(peer_addr, report)| {
            let side = if asked.contains(&peer_addr) {
                ComparisonSide::Target
            } else {
                ComparisonSide::Current
            };
            (side, peer_addr, report)
        });
        with_sides.collect()
    }

    async fn ask(
        &self,
        peers: Vec<SocketAddr>,
        probe: &RolloutProbe,
    ) -> Vec<(SocketAddr, RolloutReport)> {
        let mut calls = JoinSet::new();
        for peer_addr in peers {
            let (core, probe) = (Rc::clone(&self.core), probe.clone());
            calls.spawn_local(async move {
                let report = send_probe(core, peer_addr, probe).await;
                (peer_addr, report)
            });
        }
        let reports = calls.join_all().await;
        let answered = reports
            .into_iter()
            .filter_map(|(peer_addr, report)| Some((peer_addr, report?)));
        answered.collect()
    }

    /// Returns the nodes beside backend servers of one version, always in the same order.
    fn members(&self, record: &RolloutRecord, side: ComparisonSide) -> Vec<SocketAddr> {
        let fleet = self.core.fleet.borrow();
        fleet.peers_by_version(
            &record.service,
            &record.target,
            side == ComparisonSide::Target,
        )
    }

    fn inputs(
        &self,
        decided: &DecidedRollout,
        record: &RolloutRecord,
        reports: &[(ComparisonSide, SocketAddr, RolloutReport)],
        is_cancelled: bool,
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
            is_cancelled,
        }
    }

    /// Writes a record and its status to the store, if nothing else was written meanwhile.
    async fn commit(&mut self, service: &str, record: RolloutRecord) {
        if !self.core.store_access.borrow().allows_calls() {
            return;
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(cause) => {
                error!(self.core.log.logger(), "rollout record not encoded"; "cause" => %cause);
                return;
            }
        };
        let status = (self.source.write_status)(&record);
        let key = rollout_key(service);
        let status_key = format!("{}{service}", self.source.status_prefix);
        // The second try has the status document's revision from the conflict of the first.
        for _ in 0..2 {
            let expected = self.core.rollouts.borrow().revision(service);
            let status_expected = self.status_revisions.get(service).copied();
            // The store's response tells the revision of the last write.
            let writes = [
                StoreWrite::put(&status_key, &status, status_expected.unwrap_or_default()),
                StoreWrite::put(&key, &value, expected),
            ];
            self.core.metrics.record_store_call("rollout");
            match self.store.commit(&writes).await {
                Ok(revision) => {
                    self.core.record_store_response();
                    self.status_revisions.insert(service.to_owned(), revision);
                    self.core.record_rollout(record, revision);
                    return;
                }
                Err(StoreError::Conflict { key, current }) if key == status_key => {
                    self.status_revisions.insert(service.to_owned(), current);
                }
                Err(StoreError::Conflict { current, .. }) => {
                    info!(self.core.log.logger(), "rollout changed by another node";
                        "service" => service, "expected" => expected.0, "current" => current.0);
                    self.read_record(service, &key).await;
                    return;
                }
                Err(failure) => {
                    self.core.record_store_failure("rollout", &failure);
                    return;
                }
            }
        }
    }

    /// Reads a record that another node has written, or this node without a response.
    async fn read_record(&mut self, service: &str, key: &str) {
        self.core.metrics.record_store_call("read-rollout");
        match self.store.read(key, ReadConsistency::Linearizable).await {
            Ok(read) => match read.item {
                Some(item) => self.core.record_rollout_item(&item),
                None => self.core.rollouts.borrow_mut().mark_missing(service),
            },
            Err(failure) => self.core.record_store_failure("rollout", &failure),
        }
    }
}

/// Returns the rollout that this node decides about from now on; none if it has ended.
///
/// `seen_at` is the time at which this node saw the order, if it did.
fn resumed(
    now: Duration,
    seen_at: Option<Duration>,
    record: &RolloutRecord,
) -> Option<DecidedRollout> {
    let seen = seen_at.map_or(Duration::ZERO, |seen_at| now.saturating_sub(seen_at));
    let elapsed = record.elapsed(NodeClock::unix_ms()).max(seen);
    let stage = RolloutStage::resume(now, elapsed, record)?;
    Some(DecidedRollout {
        stage,
        entered: record.clone(),
        comparison: VersionComparison::default(),
        waits_for: None,
        counts: HashMap::new(),
    })
}

impl DecidedRollout {
    /// Returns the result of the comparison so far.
    fn verdict(&self, core: &NodeCore, record: &RolloutRecord) -> ComparisonVerdict {
        let fleet = core.fleet.borrow();
        let targets = || fleet.ready_members(&record.service, &record.target);
        let on_trial = first_targets(targets(), record.share, record.first);
        let is_on_trial = |server: &SocketAddr| {
            let key = fleet.key_of(*server);
            key.is_some_and(|key| on_trial.contains(&key))
        };
        self.comparison.verdict(targets().count(), is_on_trial)
    }

    /// Logs why the rollout stays in its stage, when that changes.
    fn record_wait(
        &mut self,
        core: &NodeCore,
        record: &RolloutRecord,
        reason: WaitReason,
        inputs: &RolloutInputs,
    ) {
        if self.waits_for.replace(reason) == Some(reason) {
            return;
        }
        info!(core.log.logger(), "rollout waits";
            "service" => &*record.service,
            "phase" => %record.phase,
            "reason" => %reason,
            "elapsed_ms" => record.elapsed(NodeClock::unix_ms()).as_millis() as u64,
            "runs" => inputs.verdict.target_runs,
            "warm_target_slots" => inputs.warm_target_slots,
            "current_slots" => inputs.current_slots);
    }

    /// Compares the runs since the last round.
    fn compare(
        &mut self,
        core: &NodeCore,
        record: &RolloutRecord,
        reports: &[(ComparisonSide, SocketAddr, RolloutReport)],
    ) {
        self.comparison.start_round();
        // The current version comes first, so that the target version is compared with it in
        // the first round, too.
        let (current, target): (Vec<_>, Vec<_>) = reports
            .iter()
            .partition(|(side, _, _)| *side == ComparisonSide::Current);
        for (side, peer_addr, report) in current.into_iter().chain(target) {
            let (start, known) = self.counts.entry(*peer_addr).or_default();
            if *start != report.start {
                start.clone_from(&report.start);
                known.clear();
            }
            for (route_hash, counts) in &report.counts {
                let earlier = known
                    .insert(*route_hash, counts.clone())
                    .unwrap_or_default();
                let since = counts.since(&earlier);
                self.comparison
                    .observe(*side, *peer_addr, *route_hash, &since);
            }
        }
        let verdict = self.verdict(core, record);
        if verdict.is_suspicious {
            info!(core.log.logger(), "rollout suspicious";
                "service" => &*record.service,
                "target" => %record.target,
                "runs" => verdict.target_runs,
                "bad" => verdict.target_bad,
                "failing" => verdict.failing,
                "judged" => verdict.judged,
                "evidence" => %self.comparison);
        }
    }
}

/// Asks a node; returns none if it doesn't respond in time.
async fn send_probe(
    core: Rc<NodeCore>,
    peer_addr: SocketAddr,
    probe: RolloutProbe,
) -> Option<RolloutReport> {
    let body = match serde_json::to_vec(&probe) {
        Ok(body) => Bytes::from(body),
        Err(cause) => {
            error!(core.log.logger(), "rollout probe not encoded"; "cause" => %cause);
            return None;
        }
    };
    let call = PeerCall {
        method: Method::POST,
        path: ROLLOUT_PATH,
        body,
        timeout: PROBE_TIMEOUT,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let sent = call
        .send(&core.peer_connections, peer_addr, idle_timeout)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(cause) => {
            info!(core.log.logger(), "rollout probe not answered";
                "at" => %peer_addr, "cause" => %cause);
            return None;
        }
    };
    serde_json::from_slice(&response)
        .inspect_err(|cause| {
            warn!(core.log.logger(), "rollout report not decoded";
                "at" => %peer_addr, "cause" => %cause);
        })
        .ok()
}
