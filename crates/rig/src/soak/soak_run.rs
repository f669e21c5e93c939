//! One run of the soak.

use std::{
    fs::OpenOptions,
    io::Write,
    sync::Arc,
    time::{Duration, Instant},
};

use snafu::ResultExt;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::{
    SoakEvidence, SoakOptions, SoakPlan, SoakReport,
    fault_actor::FaultActor,
    promise_check::check_promises,
    recovery_check::check_recovery,
    soak_report::millis,
    version_probe::{ProbeBoard, ProbedNode, probe_node},
};
use crate::{CallerLoad, LoadPlan, ProgramPaths, RigError, RigFleet, rig_error::FileSnafu};

/// Longest time for a fleet to start, on a busy machine.
const START_MAX: Duration = Duration::from_secs(60);
/// Time between looks at processes and plan.
const LOOK: Duration = Duration::from_millis(20);
/// Time between versions while nothing storms.
const VERSION_TIME: Duration = Duration::from_millis(1_500);

/// Runs every seed and prints each report; returns whether every promise held.
///
/// # Errors
///
/// When a fleet can't be started.
pub async fn run_soak(options: &SoakOptions) -> Result<bool, RigError> {
    let programs = ProgramPaths::find();
    let mut held = true;
    for seed in options.seed..options.seed + options.runs {
        let draw = match (options.plain, options.without_last) {
            (true, _) => SoakPlan::draw,
            (false, true) => SoakPlan::draw_whole,
            (false, false) => SoakPlan::draw_last,
        };
        let plan = draw(seed, options.seconds, options.nodes);
        if options.plan {
            plan.faults.iter().for_each(|fault| println!("{fault}"));
        }
        let report = run_plan(&plan, options, &programs).await?;
        print!("{report}");
        held &= report.breaches.is_empty();
        keep_line(&report, options)?;
    }
    Ok(held)
}

fn keep_line(report: &SoakReport, options: &SoakOptions) -> Result<(), RigError> {
    let Some(path) = &options.lines else {
        return Ok(());
    };
    let line = serde_json::to_string(report).expect("plain structs always serialize");
    let opened = OpenOptions::new().create(true).append(true).open(path);
    let written = opened.and_then(|mut file| writeln!(file, "{line}"));
    written.context(FileSnafu { path })
}

async fn run_plan(
    plan: &SoakPlan,
    options: &SoakOptions,
    programs: &ProgramPaths,
) -> Result<SoakReport, RigError> {
    let mut fleet = RigFleet::start(options.nodes, programs)?;
    fleet.settle(START_MAX).await?;
    let board = ProbeBoard::new();
    board.publish(fleet.version());
    let stop = watch::Sender::new(false);
    let probes = start_probes(&fleet, &board, &stop);
    let callers = fleet.nodes.iter();
    let load = CallerLoad::start(&LoadPlan {
        nodes: callers.map(|node| node.machine().addrs.callers).collect(),
        rate: options.rate,
        seed: plan.seed,
        crashes: !options.plain && !options.without_last,
    });
    let mut actor = FaultActor::new(options.nodes, Arc::clone(&board));
    carry_out(plan, &mut fleet, &mut actor, &board).await?;
    let version = fleet.publish();
    board.publish(version);
    let (recovery, late) = check_recovery(&fleet, &board).await;
    let calls = load.end().await;
    stop.send_replace(true);
    for probe in probes {
        probe.await.expect("no probe panics");
    }
    let evidence = SoakEvidence {
        calls,
        runs: fleet
            .nodes
            .iter()
            .flat_map(|node| node.endpoint.runs())
            .collect(),
        leavings: fleet
            .nodes
            .iter()
            .flat_map(|node| node.endpoint.leavings())
            .collect(),
        faults: actor.into_spans(),
        events: fleet
            .nodes
            .iter()
            .map(|node| node.events().to_vec())
            .collect(),
    };
    let mut report = SoakReport::of_calls(plan.seed, options.seconds, &evidence);
    report.recovery_ms = recovery.as_millis() as u64;
    let delays = board.delays.lock().expect("no holder panics");
    let delays = millis(delays.iter().map(|delay| delay.as_millis() as u64));
    report.version_ms = [0.5, 0.99].map(|part| delays.value_at_quantile(part));
    report.breaches = check_promises(&evidence, options.timed);
    report.breaches.extend(late);
    let older = std::mem::take(&mut *board.breaches.lock().expect("no holder panics"));
    report.breaches.extend(older);
    if !report.breaches.is_empty() {
        let kept = fleet.keep_directory();
        eprintln!("logs of seed {} are kept in {}", plan.seed, kept.display());
    }
    Ok(report)
}

fn start_probes(
    fleet: &RigFleet,
    board: &Arc<ProbeBoard>,
    stop: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let nodes = fleet.nodes.iter().enumerate();
    let probes = nodes.map(|(number, node)| {
        let probed = ProbedNode {
            number,
            callers: node.machine().addrs.callers,
            lives: node.lives(),
        };
        probe_node(probed, Arc::clone(board), stop.subscribe())
    });
    probes.collect()
}

/// Carries a plan out to the end of its last fault.
async fn carry_out(
    plan: &SoakPlan,
    fleet: &mut RigFleet,
    actor: &mut FaultActor,
    board: &ProbeBoard,
) -> Result<(), RigError> {
    let begun = Instant::now();
    let mut waiting: Vec<_> = plan.faults.iter().collect();
    let mut lasting = Vec::new();
    let mut versioned = Instant::now();
    while !(waiting.is_empty() && lasting.is_empty()) {
        let now_ms = begun.elapsed().as_millis() as u64;
        let (due, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|fault| fault.start_ms <= now_ms);
        waiting = later;
        for fault in due {
            actor.begin(fleet, fault);
            lasting.push(fault);
        }
        let (ended, still): (Vec<_>, Vec<_>) = lasting
            .into_iter()
            .partition(|fault| fault.end_ms <= now_ms);
        lasting = still;
        for fault in ended {
            actor.end(fleet, fault);
        }
        if versioned.elapsed() >= VERSION_TIME {
            versioned = Instant::now();
            let version = fleet.publish();
            board.publish(version);
        }
        actor.tend(fleet)?;
        sleep(LOOK).await;
    }
    actor.finish().await;
    // A node takes some seconds to stop: one that was told to shortly before the last
    // fault's end still runs then, and has to be started again afterwards.
    while actor.is_ending() || fleet.nodes.iter_mut().any(|node| !node.is_running()) {
        actor.tend(fleet)?;
        sleep(LOOK).await;
    }
    Ok(())
}
