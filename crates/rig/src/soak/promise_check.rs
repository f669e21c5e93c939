//! Checks the evidence of a soak against the promises.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use geranium_standins::RunRecord;

use super::{
    Breach, Promise, SoakEvidence, notice_check::check_notices, version_probe::PROBE_PREFIX,
};
use crate::{CallKind, CallOutcome, CallRecord, NodeEventKind};

/// Longest time after an acknowledged drain during which requests may still arrive.
const DRAIN_MAX: Duration = Duration::from_secs(2);
/// Margin for the difference between two threads' readings of the time of one
/// event.
const CLOCK_SLACK: Duration = Duration::from_millis(250);
/// Time after a drain at which a new request is a breach even on an overloaded
/// machine: by then the backend server should have stopped.
const DRAIN_MAX_UNTIMED: Duration = Duration::from_secs(8);
/// Margin around a request within which a fault of its node excuses a missing
/// response.
const DISTURBANCE_MARGIN: Duration = Duration::from_millis(500);

/// Most backend servers that one request may crash while nodes can reach one
/// another.
const CRASHES_MAX: usize = 2;
/// Most backend servers that one request may crash under any faults: three, and
/// three more by retries of nodes that don't know of these crashes.
const CRASHES_MAX_UNDER_FAULTS: usize = 6;
/// Time after a fault within which nodes that couldn't be reached learn of a crash.
const CRASH_REPORT_MARGIN: Duration = Duration::from_secs(3);

/// Returns every breach of a promise. Unless `timed`, time bounds are relaxed for
/// busy machines.
pub fn check_promises(evidence: &SoakEvidence, timed: bool) -> Vec<Breach> {
    let runs = runs_by_request(&evidence.runs);
    let mut breaches = Vec::new();
    for call in &evidence.calls {
        let ran = runs.get(&*call.id).map_or(&[][..], Vec::as_slice);
        breaches.extend(check_response(call));
        breaches.extend(check_runs(call, ran));
        breaches.extend(check_unanswered(evidence, call, ran));
        breaches.extend(check_cancelled(evidence, call, ran));
    }
    breaches.extend(check_requested(evidence));
    breaches.extend(check_crashes(evidence, timed));
    breaches.extend(check_drains(evidence, timed));
    breaches.extend(check_notices(evidence));
    breaches.extend(check_processes(evidence));
    breaches
}

fn runs_by_request(runs: &[RunRecord]) -> HashMap<&str, Vec<&RunRecord>> {
    let mut found: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in runs {
        found.entry(&run.request).or_default().push(run);
    }
    found
}

fn check_response(call: &CallRecord) -> Option<Breach> {
    let mismatched = matches!(&call.outcome, CallOutcome::Answered { own: false, .. });
    mismatched.then(|| Breach::new(Promise::OwnAnswer, format!("{call:?}")))
}

fn check_runs(call: &CallRecord, ran: &[&RunRecord]) -> Vec<Breach> {
    if call.kind != CallKind::Order {
        return Vec::new();
    }
    let mut breaches = Vec::new();
    if ran.len() > 1 {
        let what = format!("{} ran at {ran:?}", call.id);
        breaches.push(Breach::new(Promise::OnceAtMost, what));
    }
    if call.is_refused() && !ran.is_empty() {
        let what = format!("{call:?} ran at {ran:?}");
        breaches.push(Breach::new(Promise::TrueRefusal, what));
    }
    breaches
}

/// Finds a request that was read and got no response although nothing disturbed its
/// node's process. A request on a reused connection that reached no backend server
/// is excused: it may have crossed the node's close.
fn check_unanswered(
    evidence: &SoakEvidence,
    call: &CallRecord,
    ran: &[&RunRecord],
) -> Option<Breach> {
    let lost = matches!(call.outcome, CallOutcome::Closed);
    if !lost || (call.kept && ran.is_empty()) {
        return None;
    }
    if was_disturbed(evidence, call.node, call.sent, call.ended) {
        return None;
    }
    Some(Breach::new(Promise::Answered, format!("{call:?}, {ran:?}")))
}

/// Whether a process was killed, exited by itself or was paused around a time. A
/// request to terminate is no excuse: the node promises to respond to what it has
/// accepted.
fn was_disturbed(evidence: &SoakEvidence, node: usize, from: Instant, to: Instant) -> bool {
    let events = evidence.events.get(node).into_iter().flatten();
    let mut hard =
        events.filter(|event| matches!(event.kind, NodeEventKind::Killed | NodeEventKind::Ended));
    let paused = evidence.faults.iter().any(|fault| {
        fault.kind == super::FaultKind::NodePause
            && fault.concerns(node)
            && fault.overlaps(from, to, DISTURBANCE_MARGIN)
    });
    let near = |at: Instant| from <= at + DISTURBANCE_MARGIN && at <= to + DISTURBANCE_MARGIN;
    paused || hard.any(|event| near(event.at))
}

fn check_cancelled(
    evidence: &SoakEvidence,
    call: &CallRecord,
    ran: &[&RunRecord],
) -> Option<Breach> {
    if !matches!(call.outcome, CallOutcome::Left) {
        return None;
    }
    let to = call.ended + Duration::from_secs(4);
    let hidden = evidence.faults.iter().any(|fault| {
        fault.kind.hides_departed_callers() && fault.overlaps(call.sent, to, DISTURBANCE_MARGIN)
    });
    let whole = ran.iter().find(|run| !run.cancelled)?;
    (!hidden).then(|| {
        let what = format!("{} was not cancelled at {}", call.id, whole.instance);
        Breach::new(Promise::Cancelled, what)
    })
}

fn check_requested(evidence: &SoakEvidence) -> Vec<Breach> {
    let calls = evidence.calls.iter();
    let calls: HashMap<&str, &CallRecord> = calls.map(|call| (&*call.id, call)).collect();
    let unrequested = evidence.runs.iter().filter(|run| {
        let probe = run.request.starts_with(PROBE_PREFIX);
        let asked = calls.get(&*run.request);
        !probe && asked.is_none_or(|call| call.path != run.path)
    });
    unrequested
        .map(|run| Breach::new(Promise::AskedFor, format!("{run:?}")))
        .collect()
}

/// Checks how many backend servers each crashing request reached. A request that is
/// sent again and again may crash two of them, and a few more where faults keep
/// nodes from learning of the crashes.
fn check_crashes(evidence: &SoakEvidence, timed: bool) -> Vec<Breach> {
    let calls = evidence.calls.iter();
    let crashing = calls.filter(|call| call.kind == CallKind::Crash);
    let mut sends: HashMap<&str, Vec<&CallRecord>> = HashMap::new();
    for call in crashing {
        sends.entry(&call.path).or_default().push(call);
    }
    let mut breaches = Vec::new();
    for (path, sends) in sends {
        let from = sends.iter().map(|call| call.sent).min();
        let to = sends.iter().map(|call| call.ended).max();
        let hidden = from.zip(to).is_none_or(|(from, to)| {
            let mut faults = evidence.faults.iter();
            faults.any(|fault| {
                fault.kind.hides_crashes() && fault.overlaps(from, to, CRASH_REPORT_MARGIN)
            })
        });
        let bound = if timed && !hidden {
            CRASHES_MAX
        } else {
            CRASHES_MAX_UNDER_FAULTS
        };
        // Servers with another fault don't crash: they respond.
        let runs = evidence.runs.iter();
        let runs = runs.filter(|run| run.path == path && run.cancelled).count();
        if runs > bound {
            let what = format!("{path} ran {runs} times");
            breaches.push(Breach::new(Promise::FewCrashes, what));
        }
    }
    breaches
}

fn check_drains(evidence: &SoakEvidence, timed: bool) -> Vec<Breach> {
    let bound = if timed {
        DRAIN_MAX + CLOCK_SLACK
    } else {
        DRAIN_MAX_UNTIMED
    };
    let late = evidence.observe_drains().into_iter();
    let late = late.filter(|drain| drain.last_run_after.is_some_and(|after| after > bound));
    late.map(|drain| Breach::new(Promise::Drained, format!("{drain:?}")))
        .collect()
}

fn check_processes(evidence: &SoakEvidence) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (node, events) in evidence.events.iter().enumerate() {
        for event in events {
            if event.kind == NodeEventKind::Ended {
                let what = format!("the process of node {node} exited unasked");
                breaches.push(Breach::new(Promise::KeepsRunning, what));
            }
        }
    }
    breaches
}
