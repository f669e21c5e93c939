//! Finds out whether the backend server crashed when its connections break.

use std::{collections::HashMap, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::{
    BreakCause, BreakDiagnosis, CrashRecord,
    broken_runs::BrokenRun,
    crash_broadcast::{notify_peers, store_crashes},
};
use crate::{
    member::EndpointStart,
    node_core::NodeCore,
    store::{MetaStore, Revision},
    transport::ExchangeError,
};

/// Time after the first break in which further ones are collected. A process that crashes
/// drops all its connections within a millisecond or two.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Longest time for probing a backend server. The senders of broken runs wait for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a probe that failed without a clear result. Where its connection broke as
/// well, the process is ending.
const PROBE_PAUSE: Duration = Duration::from_millis(5);

/// Diagnoses broken runs and records crashes of the backend server until the node ends.
///
/// A request crashed its backend server, rather than lost its response, if the backend
/// server doesn't run any more after its connections broke. The senders of broken runs get
/// the diagnosis only once that is known, so that a request that a caller resends at once
/// meets nodes that know of the crash.
pub async fn watch_crashes(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        core.inbound.broken_runs().work_added.notified().await;
        if let Some(late_crashes) = core.inbound.broken_runs().take_late_crashes() {
            spawn_local(record_late_crashes(
                Rc::clone(&core),
                Rc::clone(&store),
                late_crashes,
            ));
        }
        for records in core.inbound.broken_runs().take_unwritten() {
            spawn_local(store_crashes(Rc::clone(&core), Rc::clone(&store), records));
        }
        sleep(GATHER_TIME).await;
        for (start, runs) in group_by_start(core.inbound.broken_runs().take_waiting()) {
            spawn_local(diagnose_runs(
                Rc::clone(&core),
                Rc::clone(&store),
                start,
                runs,
            ));
        }
    }
}

fn group_by_start(runs: Vec<BrokenRun>) -> HashMap<EndpointStart, Vec<BrokenRun>> {
    let mut starts: HashMap<EndpointStart, Vec<BrokenRun>> = HashMap::new();
    for run in runs {
        starts
            .entry(run.record.start.clone())
            .or_default()
            .push(run);
    }
    starts
}

/// Diagnoses broken runs of one start, and sends the diagnosis to their senders.
async fn diagnose_runs(
    core: Rc<NodeCore>,
    store: Rc<impl MetaStore>,
    start: EndpointStart,
    mut runs: Vec<BrokenRun>,
) {
    let begun = Instant::now();
    let cause = probe(&core, &start).await;
    info!(core.log.logger(), "backend server's connections broke";
        "instance" => %start,
        "runs" => runs.len(),
        "cause" => <&'static str>::from(cause),
        "took_ms" => begun.elapsed().as_millis() as u64,
        "only_trials" => core.inbound.is_breaker_open());
    if cause == BreakCause::Crashed {
        publish_unclear(&core, &store, &start).await;
    }
    report_later_runs(&core, cause, &start, &mut runs);
    if runs.is_empty() {
        return;
    }
    let records: Vec<CrashRecord> = runs.iter().map(|run| run.record.clone()).collect();
    if cause == BreakCause::Crashed {
        warn!(core.log.logger(), "backend server crashed";
            "instance" => %start, "runs" => records.len(), "evidence" => "probe");
        publish_crashes(Rc::clone(&core), store, records).await;
    } else {
        let now = core.clock.now();
        for record in records {
            core.inbound.broken_runs().remember(now, cause, record);
        }
    }
    report_diagnosis(runs, &BreakDiagnosis { cause, start });
}

/// Publishes the runs of a crashed start whose own probe was unclear.
async fn publish_unclear(core: &Rc<NodeCore>, store: &Rc<impl MetaStore>, start: &EndpointStart) {
    let records = core.inbound.broken_runs().take_unclear(start);
    if records.is_empty() {
        return;
    }
    warn!(core.log.logger(), "backend server crashed";
        "instance" => %start, "runs" => records.len(), "evidence" => "a later probe");
    publish_crashes(Rc::clone(core), Rc::clone(store), records).await;
}

/// Removes the runs that were sent after a first break at which the start may have crashed.
///
/// They never count as crashes. Their senders get no diagnosis when it is known that the start
/// crashed at that break. Otherwise it may have been one of these runs that crashed it.
fn report_later_runs(
    core: &NodeCore,
    cause: BreakCause,
    start: &EndpointStart,
    runs: &mut Vec<BrokenRun>,
) {
    let broken = core.inbound.broken_runs();
    if cause == BreakCause::AnswerLost {
        return broken.clear_first_break(start);
    }
    let later_runs = broken.split_off_later(start, runs);
    if cause == BreakCause::Unclear {
        broken.mark_unclear(start);
    }
    if broken.is_unclear(start) {
        let diagnosis = BreakDiagnosis {
            cause: BreakCause::Unclear,
            start: start.clone(),
        };
        report_diagnosis(later_runs, &diagnosis);
    }
}

/// Sends a diagnosis to the senders of runs.
fn report_diagnosis(runs: Vec<BrokenRun>, diagnosis: &BreakDiagnosis) {
    for run in runs {
        // The sender may have been cancelled meanwhile.
        let _gone = run.diagnosis_sender.send(diagnosis.clone());
    }
}

/// Records crashes that were detected only when another start replaced the crashed one.
async fn record_late_crashes(
    core: Rc<NodeCore>,
    store: Rc<impl MetaStore>,
    records: Vec<CrashRecord>,
) {
    warn!(core.log.logger(), "backend server crashed";
        "runs" => records.len(), "evidence" => "another start took its place");
    publish_crashes(Rc::clone(&core), store, records).await;
    core.inbound.broken_runs().record_late_notified();
}

/// Records crashes on this node, notifies its peers, and starts writing them to the store.
async fn publish_crashes(core: Rc<NodeCore>, store: Rc<impl MetaStore>, records: Vec<CrashRecord>) {
    let now = core.clock.now();
    for record in &records {
        let mut crashes = core.crashes.borrow_mut();
        crashes.record(now, record.clone(), Revision(0));
    }
    spawn_local(store_crashes(Rc::clone(&core), store, records.clone()));
    notify_peers(&core, &records).await;
}

/// Probes the backend server's health path to find out whether `start` still runs.
///
/// A response from the same start shows that it still runs. A refused connection shows that
/// it has ended, unless other runs are still open there: an overloaded server refuses
/// connections, too.
async fn probe(core: &NodeCore, start: &EndpointStart) -> BreakCause {
    let config = core.config.borrow().clone();
    let path = config.and_then(|config| {
        let path = config.health_path(&core.settings.service);
        path.map(ToOwned::to_owned)
    });
    let path = path.unwrap_or_else(|| "/".to_owned());
    let until = Instant::now() + PROBE_TIMEOUT;
    loop {
        let probe_result = timeout_at(until, core.inbound.check_health(&path)).await;
        match probe_result {
            Ok(Ok(health)) => {
                return match health.instance {
                    Some(instance) if instance == start.instance() => BreakCause::AnswerLost,
                    Some(_) => BreakCause::Crashed,
                    None => BreakCause::Unclear,
                };
            }
            Ok(Err(ExchangeError::Refused { .. })) if core.inbound.is_idle() => {
                return BreakCause::Crashed;
            }
            Ok(Err(_)) => {}
            Err(_elapsed) => return BreakCause::Unclear,
        }
        let next = Instant::now() + PROBE_PAUSE;
        if next >= until {
            return BreakCause::Unclear;
        }
        sleep_until(next).await;
    }
}
