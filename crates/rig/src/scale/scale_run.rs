//! The experiment itself.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{
    ScaleOptions, ScalePoint,
    big_preset::big_preset,
    naive_fleet,
    node_probe::{NodeSample, status_line},
    scale_fleet::ScaleFleet,
    scale_report,
};
use crate::{NodeStatus, ProcessSignal, RigError};

/// Time for the fleet to come to rest before anything is measured.
const SETTLE: Duration = Duration::from_secs(30);
/// Time between changes: far more often than 1,400 a day, so that a change's
/// own cost stands out from the idle cost.
const CHANGE_PERIOD: Duration = Duration::from_secs(1);
/// Length of the platform's outage.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time in which the neighbours of a restarted node settle.
const RESTART_PERIOD: Duration = Duration::from_secs(3);
const KIB_PER_MIB: f64 = 1_024.0;

/// Runs every size and writes the report.
///
/// # Errors
///
/// Returns an error if a program is missing, or a fleet doesn't come to rest.
pub fn run_scale(options: &ScaleOptions) -> Result<bool, RigError> {
    let mut points = Vec::new();
    for size in &options.sizes {
        println!("measuring {size} nodes");
        let point = measure(*size, options)?;
        println!("{}", scale_report::row(&point));
        points.push(point);
    }
    scale_report::write(&options.out, &points)?;
    Ok(true)
}

fn measure(count: usize, options: &ScaleOptions) -> Result<ScalePoint, RigError> {
    let started = Instant::now();
    let mut fleet = ScaleFleet::start(count)?;
    fleet.wait_joined()?;
    let joined_ms = started.elapsed().as_millis() as u64;
    thread::sleep(SETTLE);
    let mut point = ScalePoint {
        nodes: count,
        joined_ms,
        ..ScalePoint::default()
    };
    let idle_cpu = idle(&fleet, options, &mut point);
    memory(&fleet, &mut point);
    changes(&mut fleet, options, idle_cpu, &mut point)?;
    watcher_killed(&mut fleet, &mut point)?;
    after_outage(&mut fleet, &mut point)?;
    restarts(&mut fleet, options, &mut point)?;
    point.naive = naive_fleet::measure(&mut fleet, count);
    Ok(point)
}

/// Measures a fleet at rest; returns processor time per node and second.
fn idle(fleet: &ScaleFleet, options: &ScaleOptions, point: &mut ScalePoint) -> f64 {
    let before = fleet.samples();
    let (calls, _) = fleet.platform_calls();
    let started = Instant::now();
    thread::sleep(Duration::from_secs(options.idle_s));
    let seconds = started.elapsed().as_secs_f64();
    let (calls_after, waiting) = fleet.platform_calls();
    let after = fleet.samples();
    let rate = |figure: fn(&NodeSample) -> f64| {
        let rates: Vec<f64> = growth(&before, &after, figure)
            .map(|grown| grown / seconds)
            .collect();
        let most = rates.iter().copied().fold(0.0, f64::max);
        (rates.iter().sum::<f64>() / rates.len() as f64, most)
    };
    (point.idle_bytes_per_s, point.idle_bytes_per_s_max) = rate(|sample| sample.bytes);
    (point.idle_messages_per_s, _) = rate(|sample| sample.messages);
    let (cpu, cpu_max) = rate(|sample| sample.cpu.as_secs_f64());
    point.idle_cpu_percent = cpu * 100.0;
    point.idle_cpu_percent_max = cpu_max * 100.0;
    point.idle_platform_calls_per_s = (calls_after - calls) / seconds;
    point.waiting_watches = waiting;
    cpu
}

fn growth<'a>(
    before: &'a [NodeSample],
    after: &'a [NodeSample],
    figure: fn(&NodeSample) -> f64,
) -> impl Iterator<Item = f64> + 'a {
    before
        .iter()
        .zip(after)
        .map(move |(old, new)| (figure(new) - figure(old)).max(0.0))
}

fn memory(fleet: &ScaleFleet, point: &mut ScalePoint) {
    let of_all = |name: &str| -> Vec<f64> {
        fleet
            .nodes
            .iter()
            .map(|node| status_line(node.process.id(), name))
            .collect()
    };
    let resident = of_all("VmRSS");
    point.memory_mib = resident.iter().sum::<f64>() / resident.len() as f64 / KIB_PER_MIB;
    point.memory_mib_max = resident.iter().copied().fold(0.0, f64::max) / KIB_PER_MIB;
    let threads = of_all("Threads");
    point.threads = threads.iter().sum::<f64>() / threads.len() as f64;
}

fn changes(
    fleet: &mut ScaleFleet,
    options: &ScaleOptions,
    idle_cpu: f64,
    point: &mut ScalePoint,
) -> Result<(), RigError> {
    let before = fleet.samples();
    let (calls, _) = fleet.platform_calls();
    let started = Instant::now();
    let mut times = Vec::new();
    for change in 1..=options.changes {
        let next = started + CHANGE_PERIOD * u32::from(change);
        let written = fleet.change(&big_preset(change));
        times.extend(fleet.convergence(written, |_| true)?);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let seconds = started.elapsed().as_secs_f64();
    let (calls_after, _) = fleet.platform_calls();
    let after = fleet.samples();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    (
        point.change_p50_ms,
        point.change_p99_ms,
        point.change_max_ms,
    ) = (at(0.5), at(0.99), at(1.0));
    let count = f64::from(options.changes);
    let per_node = |figure: fn(&NodeSample) -> f64, idle_rate: f64| {
        let grown: f64 = growth(&before, &after, figure).sum();
        (grown / before.len() as f64 - idle_rate * seconds).max(0.0) / count
    };
    point.change_bytes = per_node(|sample| sample.bytes, point.idle_bytes_per_s);
    point.change_cpu_ms = per_node(|sample| sample.cpu.as_secs_f64(), idle_cpu) * 1_000.0;
    // The operator's own writes and reads are three calls a change.
    let idle_calls = point.idle_platform_calls_per_s * seconds;
    point.change_platform_calls = ((calls_after - calls - idle_calls) / count - 3.0).max(0.0);
    Ok(())
}

fn watcher_killed(fleet: &mut ScaleFleet, point: &mut ScalePoint) -> Result<(), RigError> {
    let is_watcher = |admin| NodeStatus::read(admin).is_some_and(|status| status.is_watcher);
    let watcher = fleet
        .nodes
        .iter()
        .position(|node| is_watcher(node.addresses.admin));
    let Some(watcher) = watcher else {
        return Ok(());
    };
    let written = fleet.change(&big_preset(500));
    fleet.nodes[watcher].process.signal(ProcessSignal::Kill);
    let times = fleet.convergence(written, |index| index != watcher)?;
    point.watcher_killed_max_ms = times.into_iter().max().unwrap_or_default();
    fleet.restart(watcher)?;
    fleet.wait_joined()
}

fn after_outage(fleet: &mut ScaleFleet, point: &mut ScalePoint) -> Result<(), RigError> {
    fleet.platform_faults(&serde_json::json!({"down": "drop", "cut_watches": true}));
    thread::sleep(OUTAGE);
    fleet.platform_faults(&serde_json::json!({}));
    let written = fleet.change(&big_preset(501));
    let times = fleet.convergence(written, |_| true)?;
    point.after_outage_max_ms = times.into_iter().max().unwrap_or_default();
    Ok(())
}

fn restarts(
    fleet: &mut ScaleFleet,
    options: &ScaleOptions,
    point: &mut ScalePoint,
) -> Result<(), RigError> {
    thread::sleep(SETTLE);
    let before = fleet.samples();
    let (calls, _) = fleet.platform_calls();
    let started = Instant::now();
    let count = options.restarts.min(fleet.nodes.len() / 2);
    for index in 0..count {
        fleet.restart(index)?;
        thread::sleep(RESTART_PERIOD);
    }
    fleet.wait_joined()?;
    let seconds = started.elapsed().as_secs_f64();
    let (calls_after, _) = fleet.platform_calls();
    let after = fleet.samples();
    // Restarted nodes count from zero again, so only the others are compared.
    let grown: f64 = growth(&before[count..], &after[count..], |sample| sample.bytes).sum();
    let others = (before.len() - count).max(1) as f64;
    let per_restart = (grown / others - point.idle_bytes_per_s * seconds) / count.max(1) as f64;
    point.restart_bytes = per_restart.max(0.0);
    let idle_calls = point.idle_platform_calls_per_s * seconds;
    point.restart_platform_calls =
        ((calls_after - calls - idle_calls) / count.max(1) as f64).max(0.0);
    Ok(())
}
