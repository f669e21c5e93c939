//! Beginning and ending failures.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use geranium_load::{LoadOutcome, LoadPlan, MixEntry, run_load};
use geranium_model::RequestClass;
use geranium_platform::GatewayStore;
use geranium_standins::backend::termination_requested;

use super::{
    FailureKind, FailurePlan, PlannedFailure, past_client::write_bad_preset, soak_fleet::PRESETS,
};
use crate::{ChildProcess, FleetRun, PairPart, ProcessSignal, RigError};

/// Longest sleep between two looks at the schedule.
const POLL: Duration = Duration::from_millis(20);
/// Time within which a process that was asked to terminate must have ended:
/// the longest request's patience, and some.
const END_LIMIT: Duration = Duration::from_secs(50);
/// Requests a second whose answers break off, while that failure lasts.
const TORN_RATE: f64 = 10.0;

/// When a failure truly began and ended, in milliseconds after the start.
#[derive(Debug, Clone)]
pub(super) struct CarriedOut {
    pub failure: PlannedFailure,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    /// Graceful end that wasn't over within its limit.
    pub overdue: bool,
}

/// Carries a plan out.
pub(super) struct FailureActor<'a> {
    fleet: &'a mut FleetRun,
    started: Instant,
    store: Arc<GatewayStore>,
    waiting: Vec<PlannedFailure>,
    pub done: Vec<CarriedOut>,
    operators: Vec<JoinHandle<()>>,
    torn: Vec<(u64, JoinHandle<Option<LoadOutcome>>)>,
    bad_presets: u16,
}

impl<'a> FailureActor<'a> {
    pub(super) fn new(
        fleet: &'a mut FleetRun,
        plan: &FailurePlan,
        started: Instant,
        store: Arc<GatewayStore>,
    ) -> Self {
        let mut waiting = plan.failures.clone();
        waiting.reverse();
        Self {
            fleet,
            started,
            store,
            waiting,
            done: Vec::new(),
            operators: Vec::new(),
            torn: Vec::new(),
            bad_presets: 0,
        }
    }

    /// Begins and ends every failure at its time.
    pub(super) fn carry_out(&mut self) -> Result<(), RigError> {
        while !self.waiting.is_empty() || self.done.iter().any(|one| one.ended_ms.is_none()) {
            if termination_requested() {
                return Err(RigError::Terminated);
            }
            let now = self.now();
            while let Some(failure) = self.waiting.pop_if(|next| next.start_ms <= now) {
                self.begin(failure);
            }
            for index in 0..self.done.len() {
                let one = &self.done[index];
                if one.ended_ms.is_none() && one.failure.end_ms <= now {
                    self.end(index)?;
                }
            }
            thread::sleep(POLL);
        }
        for operator in self.operators.drain(..) {
            operator.join().ok();
        }
        Ok(())
    }

    /// Returns what came of the loads whose answers broke off, with the time
    /// at which each began.
    pub(super) fn torn_loads(&mut self) -> Vec<(u64, LoadOutcome)> {
        let torn = self.torn.drain(..);
        let ended = torn.filter_map(|(at, thread)| Some((at, thread.join().ok()??)));
        ended.collect()
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn begin(&mut self, failure: PlannedFailure) {
        use FailureKind as Kind;
        let began_ms = self.now();
        println!("{began_ms:>7} ms begins: {failure}");
        match failure.kind {
            Kind::NodeKill | Kind::NodeHerd => {
                self.signal(&failure, PairPart::Node, ProcessSignal::Kill);
            }
            Kind::BackendKill | Kind::BackendHerd => {
                self.signal(&failure, PairPart::Backend, ProcessSignal::Kill);
            }
            Kind::NodeStop => self.signal(&failure, PairPart::Node, ProcessSignal::Stop),
            Kind::NodeTerm => self.signal(&failure, PairPart::Node, ProcessSignal::Terminate),
            Kind::BackendTerm => self.signal(&failure, PairPart::Backend, ProcessSignal::Terminate),
            Kind::OperatorRace => self.race(),
            Kind::BadPreset => self.write_bad(),
            Kind::MidBody => self.tear(&failure, began_ms),
            _ => self.set_faults(&failure, true),
        }
        self.done.push(CarriedOut {
            failure,
            began_ms,
            ended_ms: None,
            overdue: false,
        });
        self.renew_platform();
    }

    fn end(&mut self, index: usize) -> Result<(), RigError> {
        use FailureKind as Kind;
        let failure = self.done[index].failure.clone();
        match failure.kind {
            Kind::NodeKill | Kind::NodeHerd => self.restart(&failure, PairPart::Node)?,
            Kind::BackendKill | Kind::BackendHerd => self.restart(&failure, PairPart::Backend)?,
            Kind::NodeStop => self.signal(&failure, PairPart::Node, ProcessSignal::Continue),
            Kind::NodeTerm | Kind::BackendTerm => {
                let part = if failure.kind == Kind::NodeTerm {
                    PairPart::Node
                } else {
                    PairPart::Backend
                };
                let limit = self.done[index].began_ms + END_LIMIT.as_millis() as u64;
                if self.runs(&failure, part) {
                    if self.now() < limit {
                        return Ok(());
                    }
                    self.done[index].overdue = true;
                }
                self.restart(&failure, part)?;
            }
            _ => self.set_faults(&failure, false),
        }
        let now = self.now();
        self.done[index].ended_ms = Some(now);
        println!("{now:>7} ms ended:  {failure}");
        self.renew_platform();
        Ok(())
    }

    fn signal(&mut self, failure: &PlannedFailure, part: PairPart, signal: ProcessSignal) {
        for target in &failure.targets {
            self.fleet.pairs[*target].signal(part, signal);
        }
    }

    fn restart(&mut self, failure: &PlannedFailure, part: PairPart) -> Result<(), RigError> {
        for target in &failure.targets {
            self.fleet.pairs[*target].start(part)?;
        }
        Ok(())
    }

    fn runs(&mut self, failure: &PlannedFailure, part: PairPart) -> bool {
        let mut targets = failure.targets.iter();
        targets.any(|target| {
            let process = self.fleet.pairs[*target].process(part);
            process.is_some_and(ChildProcess::is_running)
        })
    }

    /// Sets or clears a backend server's faults; one that is down has none.
    fn set_faults(&self, failure: &PlannedFailure, on: bool) {
        let Some(faults) = failure.kind.backend_faults() else {
            return;
        };
        let faults = if on { faults } else { serde_json::json!({}) };
        for target in &failure.targets {
            let backend = self.fleet.pairs[*target].addresses.backend;
            post(backend, "/.backend/faults", &faults);
        }
    }

    /// Gives the platform all faults that are there now.
    fn renew_platform(&self) {
        let present = self.done.iter().filter(|one| one.ended_ms.is_none());
        let mut all = serde_json::Map::new();
        for one in present {
            if let Some(serde_json::Value::Object(faults)) = one.failure.kind.platform_faults() {
                all.extend(faults);
            }
        }
        post(self.fleet.platform_address, "/standin/faults", &all.into());
    }

    fn race(&mut self) {
        for (preset, _) in PRESETS {
            let operator = self.fleet.operator();
            self.operators.push(thread::spawn(move || {
                // One of two may lose, and the platform may be down.
                operator.activate(preset).ok();
            }));
        }
    }

    fn write_bad(&mut self) {
        self.bad_presets += 1;
        let (store, number) = (Arc::clone(&self.store), self.bad_presets);
        self.operators.push(thread::spawn(move || {
            write_bad_preset(&store, number);
        }));
    }

    fn tear(&mut self, failure: &PlannedFailure, began_ms: u64) {
        let entry = MixEntry {
            class: RequestClass::Short,
            weight: 1,
            path: "/verdskra/torn?die_mid_body=1".to_owned(),
            service: "verdskra".to_owned(),
            bytes: 0,
        };
        let mut plan = LoadPlan::new(self.fleet.callers(), vec![entry]);
        plan.rate = TORN_RATE;
        plan.duration = Duration::from_millis(failure.end_ms - failure.start_ms);
        plan.workers = 16;
        plan.seed = began_ms;
        let load = thread::spawn(move || run_load(&plan).ok());
        self.torn.push((began_ms, load));
    }
}

fn post(address: SocketAddr, path: &str, body: &serde_json::Value) {
    let request = attohttpc::post(format!("http://{address}{path}"))
        .timeout(Duration::from_secs(2))
        .json(body);
    // A backend server that is down has no faults to set.
    let _ = request.map(attohttpc::RequestBuilder::send);
}
