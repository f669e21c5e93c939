//! Execution of a soak.

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
    fault_injector::FaultInjector,
    promise_check::check_promises,
    recovery_check::check_recovery,
    soak_report::latency_histogram,
    version_probe::{ProbeRecords, ProbedNode, probe_node},
};
use crate::{CallerLoad, LoadPlan, ProgramPaths, RigError, RigFleet, rig_error::FileSnafu};

/// Longest time for a fleet to start on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of processes and plan.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between published versions outside of configuration storms.
const VERSION_INTERVAL: Duration = Duration::from_millis(1_500);

/// Runs every seed and prints each report. Returns whether every promise held.
///
/// # Errors
///
/// Fails if a fleet can't be started or a report can't be written.
pub async fn run_soak(options: &SoakOptions) -> Result<bool, RigError> {
    let programs = ProgramPaths::find();
    let mut held = true;
    for seed in options.seed..options.seed + options.runs {
        let draw = match (options.plain, options.without_last) {
            (true, _) => SoakPlan::draw,
            (false, true) => SoakPlan::draw_with_overlay,
            (false, false) => SoakPlan::draw_with_all_overlays,
        };
        let mut plan = draw(seed, options.seconds, options.nodes);
        if !options.plain && !options.without_notices {
            plan.add_notices(options.seconds, options.nodes);
        }
        if !options.plain && !options.without_leavings {
            plan.add_leavings(options.seconds, options.nodes);
        }
        if options.plan {
            plan.faults.iter().for_each(|fault| println!("{fault}"));
        }
        let report = run_plan(&plan, options, &programs).await?;
        print!("{report}");
        held &= report.breaches.is_empty();
        append_line(&report, options)?;
    }
    Ok(held)
}

fn append_line(report: &SoakReport, options: &SoakOptions) -> Result<(), RigError> {
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
    fleet.settle(START_TIMEOUT).await?;
    let records = ProbeRecords::new();
    records.publish(fleet.version());
    let stop = watch::Sender::new(false);
    let probes = start_probes(&fleet, &records, &stop);
    let callers = fleet.nodes.iter();
    let load = CallerLoad::start(&LoadPlan {
        nodes: callers.map(|node| node.machine().addrs.callers).collect(),
        rate: options.rate,
        seed: plan.seed,
        crashing_requests: !options.plain && !options.without_last,
    });
    let mut injector = FaultInjector::new(options.nodes, Arc::clone(&records));
    execute_plan(plan, &mut fleet, &mut injector, &records).await?;
    let version = fleet.publish();
    records.publish(version);
    let (recovery, late) = check_recovery(&fleet, &records).await;
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
        acked_drains: fleet
            .nodes
            .iter()
            .flat_map(|node| node.endpoint.acked_drains())
            .collect(),
        notices: fleet
            .nodes
            .iter()
            .flat_map(|node| node.endpoint.notices())
            .collect(),
        faults: injector.into_spans(),
        events: fleet
            .nodes
            .iter()
            .map(|node| node.events().to_vec())
            .collect(),
    };
    let mut report = SoakReport::of_calls(plan.seed, options.seconds, &evidence);
    report.recovery_ms = recovery.as_millis() as u64;
    let delays = records.delays.lock().expect("not poisoned");
    let delays = latency_histogram(delays.iter().map(|delay| delay.as_millis() as u64));
    report.version_ms = [0.5, 0.99].map(|part| delays.value_at_quantile(part));
    report.breaches = check_promises(&evidence, options.timed);
    report.breaches.extend(late);
    let older = std::mem::take(&mut *records.breaches.lock().expect("not poisoned"));
    report.breaches.extend(older);
    if !report.breaches.is_empty() {
        let kept = fleet.keep_directory();
        eprintln!("logs of seed {} are kept in {}", plan.seed, kept.display());
    }
    Ok(report)
}

fn start_probes(
    fleet: &RigFleet,
    records: &Arc<ProbeRecords>,
    stop: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let nodes = fleet.nodes.iter().enumerate();
    let probes = nodes.map(|(number, node)| {
        let probed = ProbedNode {
            number,
            callers: node.machine().addrs.callers,
            process_starts: node.process_starts(),
        };
        probe_node(probed, Arc::clone(records), stop.subscribe())
    });
    probes.collect()
}

/// Executes a plan until its last fault has ended and every node runs again.
async fn execute_plan(
    plan: &SoakPlan,
    fleet: &mut RigFleet,
    injector: &mut FaultInjector,
    records: &ProbeRecords,
) -> Result<(), RigError> {
    let begun = Instant::now();
    let mut waiting: Vec<_> = plan.faults.iter().collect();
    let mut active = Vec::new();
    let mut published_at = Instant::now();
    while !(waiting.is_empty() && active.is_empty()) {
        let now_ms = begun.elapsed().as_millis() as u64;
        let (due, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|fault| fault.start_ms <= now_ms);
        waiting = later;
        for fault in due {
            injector.begin(fleet, fault);
            active.push(fault);
        }
        let (ended, still): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|fault| fault.end_ms <= now_ms);
        active = still;
        for fault in ended {
            injector.end(fleet, fault);
        }
        if published_at.elapsed() >= VERSION_INTERVAL {
            published_at = Instant::now();
            let version = fleet.publish();
            records.publish(version);
        }
        injector.advance(fleet)?;
        sleep(POLL_INTERVAL).await;
    }
    injector.finish().await;
    // A node takes some seconds to terminate. One that was asked to shortly before the
    // last fault ended may still be running, and has to be restarted after it exits.
    while injector.has_terminating_nodes() || fleet.nodes.iter_mut().any(|node| !node.is_running())
    {
        injector.advance(fleet)?;
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
