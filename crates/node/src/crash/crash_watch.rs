//! Telling a crash of the backend server from a broken connection.

use std::{collections::HashMap, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::{
    BreakCause, BreakDiagnosis, CrashRecord,
    broken_runs::BrokenRun,
    crash_news::{store_crash, tell_peers},
};
use crate::{
    member::EndpointStart,
    node_core::NodeCore,
    store::{MetaStore, Revision},
    transport::ExchangeError,
};

/// Time after a break in which further ones gather: a process that crashes drops all its
/// connections within a millisecond or two.
const GATHER: Duration = Duration::from_millis(5);
/// Longest probe of a backend server. The senders of broken runs wait for it.
const PROBE_TIME: Duration = Duration::from_millis(250);
/// Pause after a probe whose connection broke as well: the process is ending.
const PROBE_PAUSE: Duration = Duration::from_millis(5);

/// Watches for crashes of the backend server until the node ends.
///
/// A request that crashes its backend server is told from one whose answer was lost by
/// whether the backend server lives after its connections broke. Those who sent what broke
/// are answered once that is known, so that a caller that sends such a request again at
/// once finds it known.
pub async fn watch_crashes(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        core.inbound.broken_runs().heard.notified().await;
        if let Some(late) = core.inbound.broken_runs().take_late() {
            spawn_local(record_late(Rc::clone(&core), Rc::clone(&store), late));
        }
        for rows in core.inbound.broken_runs().take_unwritten() {
            spawn_local(store_crash(Rc::clone(&core), Rc::clone(&store), rows));
        }
        sleep(GATHER).await;
        for (start, runs) in by_start(core.inbound.broken_runs().take_waiting()) {
            spawn_local(settle(Rc::clone(&core), Rc::clone(&store), start, runs));
        }
    }
}

fn by_start(runs: Vec<BrokenRun>) -> HashMap<EndpointStart, Vec<BrokenRun>> {
    let mut starts: HashMap<EndpointStart, Vec<BrokenRun>> = HashMap::new();
    for run in runs {
        starts.entry(run.row.start.clone()).or_default().push(run);
    }
    starts
}

/// Finds out why runs at one start broke, and tells those who sent them.
async fn settle(
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
        core.inbound.broken_runs().drop_later(&start, &mut runs);
    } else {
        core.inbound.broken_runs().not_crashed(&start);
    }
    let rows: Vec<CrashRecord> = runs.iter().map(|run| run.row.clone()).collect();
    if rows.is_empty() {
        return;
    }
    if cause == BreakCause::Crashed {
        warn!(core.log.logger(), "backend server crashed";
            "instance" => %start, "runs" => rows.len(), "evidence" => "probe");
        record(Rc::clone(&core), store, rows).await;
    } else {
        let now = core.clock.now();
        for row in rows {
            core.inbound.broken_runs().remember(now, cause, row);
        }
    }
    let diagnosis = BreakDiagnosis { cause, start };
    for run in runs {
        // A sender that was cancelled meanwhile waits no more.
        let _gone = run.found.send(diagnosis.clone());
    }
}

/// Records crashes that showed as another start took the place of the one that crashed.
async fn record_late(core: Rc<NodeCore>, store: Rc<impl MetaStore>, rows: Vec<CrashRecord>) {
    warn!(core.log.logger(), "backend server crashed";
        "runs" => rows.len(), "evidence" => "another start took its place");
    record(Rc::clone(&core), store, rows).await;
    core.inbound.broken_runs().told_late();
}

/// Records crashes here, with the peers and in the store.
async fn record(core: Rc<NodeCore>, store: Rc<impl MetaStore>, rows: Vec<CrashRecord>) {
    let now = core.clock.now();
    for row in &rows {
        let mut crashes = core.crashes.borrow_mut();
        crashes.record(now, row.clone(), Revision(0));
    }
    spawn_local(store_crash(Rc::clone(&core), store, rows.clone()));
    tell_peers(&core, &rows).await;
}

/// Asks the backend server which start it is.
///
/// An answer of the start that was asked before proves that it lives. That it takes no
/// connection proves that it is gone, unless other runs are still open there: an overloaded
/// server refuses connections, too.
async fn probe(core: &NodeCore, start: &EndpointStart) -> BreakCause {
    let config = core.config.borrow().clone();
    let path = config.and_then(|config| {
        let path = config.health_path(&core.settings.service);
        path.map(ToOwned::to_owned)
    });
    let path = path.unwrap_or_else(|| "/".to_owned());
    let until = Instant::now() + PROBE_TIME;
    loop {
        let answer = timeout_at(until, core.inbound.check_health(&path)).await;
        match answer {
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
