//! The story of one deployment.

use std::{
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use geranium_load::{
    AddedPlan, AddedReport, LoadOutcome, LoadPlan, MixEntry, check_journals, measure_added,
    older_versions, run_load,
};
use geranium_model::RequestClass;
use geranium_standins::backend::termination_requested;

use super::{DeploymentReport, FaultScript};
use crate::{
    BackendPair, DeploymentLayout, FleetRun, FreePorts, PairPart, ProcessSignal, RigError,
    StatusWatch, load_mix,
};

/// A fleet of this size is up within seconds, also on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(40);
/// After this long a version counts as never in force.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(20);
/// Runs that a node starts after its caller has its answer show by then.
const SETTLE: Duration = Duration::from_secs(2);
/// Time between looks whether the rig is to terminate.
const POLL: Duration = Duration::from_millis(50);
/// Time between two pairs of calls that measure what a node adds.
const ADDED_PAUSE: Duration = Duration::from_millis(10);

/// A deployment that is ready for its load.
#[derive(Debug)]
pub(super) struct DeploymentDemo {
    layout: DeploymentLayout,
    fleet: FleetRun,
    plan: LoadPlan,
    script: FaultScript,
}

impl DeploymentDemo {
    /// Starts the fleet with its ordinary preset in force.
    pub(super) fn start(
        layout: DeploymentLayout,
        ports: &mut FreePorts,
        examples: &Path,
        rate: f64,
        script: FaultScript,
    ) -> Result<Self, RigError> {
        let presets = examples.join(&layout.name);
        let mix = load_mix(presets.join("ordinary-day.json"))?;
        let fleet = FleetRun::start(&layout, ports)?;
        let operator = fleet.operator();
        for name in ["ordinary-day", "peak"] {
            operator.put(name, &presets.join(format!("{name}.json")))?;
        }
        operator.activate("ordinary-day")?;
        let mut plan = LoadPlan::new(fleet.callers(), mix);
        plan.rate = rate;
        plan.duration = script.load;
        Ok(Self {
            layout,
            fleet,
            plan,
            script,
        })
    }

    /// Waits until the fleet is ready, and carries the story out.
    pub(super) fn run(mut self) -> Result<DeploymentReport, RigError> {
        self.fleet.wait_ready(1, READY_LIMIT)?;
        let admins = self
            .fleet
            .pairs
            .iter()
            .map(|pair| pair.addresses.admin)
            .collect();
        let watch = StatusWatch::start(admins);
        let plan = self.plan.clone();
        let added_plan = self.added_plan();
        let started = Instant::now();
        let load = thread::spawn(move || run_load(&plan));
        let added = thread::spawn(move || added_plan.map(|plan| measure_added(&plan)));
        let (convergence, returned) = self.carry_out(&watch, started)?;
        let outcome = load.join().expect("the load tool must not panic")?;
        let added: Option<AddedReport> = added.join().expect("the load tool must not panic");
        let newest = convergence.len() as u64 + 1;
        let return_convergence = watch.convergence(newest, returned, CONVERGENCE_LIMIT, &[]);
        thread::sleep(SETTLE);
        self.report(
            &outcome,
            convergence,
            return_convergence,
            &watch,
            added.unwrap_or_default(),
        )
    }

    /// Goes through the script, and returns the times to convergence and the
    /// moment at which the killed processes came back.
    fn carry_out(
        &mut self,
        watch: &StatusWatch,
        started: Instant,
    ) -> Result<(Vec<Option<Duration>>, Instant), RigError> {
        let script = self.script.clone();
        let operator = self.fleet.operator();
        let mut convergence = Vec::new();

        sleep_until(started + script.peak_at())?;
        let activated = Instant::now();
        operator.activate("peak")?;
        convergence.push(watch.convergence(2, activated, CONVERGENCE_LIMIT, &[]));

        sleep_until(started + script.kill_at())?;
        self.each_victim(|pair, part| {
            pair.signal(part, ProcessSignal::Kill);
            Ok(())
        })?;

        sleep_until(started + script.ordinary_at())?;
        let activated = Instant::now();
        operator.activate("ordinary-day")?;
        let dead = self.dead_nodes();
        convergence.push(watch.convergence(3, activated, CONVERGENCE_LIMIT, &dead));

        sleep_until(started + script.return_at())?;
        let returned = Instant::now();
        self.each_victim(BackendPair::start)?;
        Ok((convergence, returned))
    }

    fn each_victim(
        &mut self,
        mut act: impl FnMut(&mut BackendPair, PairPart) -> Result<(), RigError>,
    ) -> Result<(), RigError> {
        for pair in &mut self.fleet.pairs {
            if self.script.nodes.contains(&pair.instance) {
                act(pair, PairPart::Node)?;
            }
            if self.script.backends.contains(&pair.instance) {
                act(pair, PairPart::Backend)?;
            }
        }
        Ok(())
    }

    fn dead_nodes(&self) -> Vec<SocketAddr> {
        let killed = |pair: &&BackendPair| self.script.nodes.contains(&pair.instance);
        let dead = self.fleet.pairs.iter().filter(killed);
        dead.map(|pair| pair.addresses.admin).collect()
    }

    /// Plans calls to a service of short requests, through a node that stays.
    fn added_plan(&self) -> Option<AddedPlan> {
        let short = |entry: &&MixEntry| entry.class == RequestClass::Short;
        let entry = self.plan.mix.iter().find(short)?;
        let victims = [self.script.nodes.as_slice(), &self.script.backends].concat();
        let stays = |pair: &&BackendPair| {
            pair.service == entry.service && !victims.contains(&pair.instance)
        };
        let pair = self.fleet.pairs.iter().find(stays)?;
        // Each round makes two pairs of calls, of a few milliseconds in all.
        let rounds = self.script.load.as_millis() / (2 * ADDED_PAUSE.as_millis());
        Some(AddedPlan {
            direct: pair.addresses.backend,
            node: pair.addresses.callers,
            path: format!("{}?work_ms=0", entry.path),
            pairs: rounds as u32,
            pause: ADDED_PAUSE,
        })
    }

    fn report(
        self,
        outcome: &LoadOutcome,
        convergence: Vec<Option<Duration>>,
        return_convergence: Option<Duration>,
        watch: &StatusWatch,
        added: AddedReport,
    ) -> Result<DeploymentReport, RigError> {
        let seen_by_callers = older_versions(&outcome.tries).len() as u64;
        Ok(DeploymentReport {
            findings: check_journals(&outcome.tries, &self.fleet.journals()?),
            name: self.layout.name,
            load: outcome.report.clone(),
            convergence,
            return_convergence,
            older_versions: watch.findings().older_versions + seen_by_callers,
            added: added.kept_alive,
        })
    }
}

fn sleep_until(moment: Instant) -> Result<(), RigError> {
    while Instant::now() < moment {
        if termination_requested() {
            return Err(RigError::Terminated);
        }
        thread::sleep(POLL.min(moment.saturating_duration_since(Instant::now())));
    }
    Ok(())
}
