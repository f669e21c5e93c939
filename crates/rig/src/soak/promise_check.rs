//! Holds what a soak saw against the promises.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use geranium_standins::RunRecord;

use super::{Breach, Promise, SoakEvidence, version_probe::PROBE_PREFIX};
use crate::{CallKind, CallOutcome, CallRecord, NodeEventKind};

/// Longest time after an acknowledged leaving in which work may come.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time by which clocks of two threads may read an event differently.
const CLOCK_SLACK: Duration = Duration::from_millis(250);
/// Time after which work at one that left is a breach on any machine, however
/// busy: by then it would be gone.
const DRAIN_SURE: Duration = Duration::from_secs(8);
/// Time around a request in which its node must not have been touched for the
/// request to count as lost.
const TOUCH_TIME: Duration = Duration::from_millis(500);

/// Crashes of one request while nodes hear of one another.
const CRASHES_MAX: usize = 2;
/// Crashes of one request under any faults: three, and three retries of nodes that don't
/// know of them.
const CRASHES_SURE: usize = 6;
/// Time after a fault in which nodes that couldn't be told of a crash are told again.
const TELL_TIME: Duration = Duration::from_secs(3);

/// Returns every breach; those of promises with a time bound only if `timed`.
pub fn check_promises(evidence: &SoakEvidence, timed: bool) -> Vec<Breach> {
    let runs = runs_by_request(&evidence.runs);
    let mut breaches = Vec::new();
    for call in &evidence.calls {
        let ran = runs.get(&*call.id).map_or(&[][..], Vec::as_slice);
        breaches.extend(check_answer(call));
        breaches.extend(check_runs(call, ran));
        breaches.extend(check_lost(evidence, call, ran));
        breaches.extend(check_cancelled(evidence, call, ran));
    }
    breaches.extend(check_asked(evidence));
    breaches.extend(check_crashes(evidence, timed));
    breaches.extend(check_drains(evidence, timed));
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

fn check_answer(call: &CallRecord) -> Option<Breach> {
    let foreign = matches!(&call.outcome, CallOutcome::Answered { own: false, .. });
    foreign.then(|| Breach::new(Promise::OwnAnswer, format!("{call:?}")))
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

/// A request that was read and got no answer though its node's process was
/// left alone. One on a kept connection that was passed on to nobody may have
/// crossed the node's close.
fn check_lost(evidence: &SoakEvidence, call: &CallRecord, ran: &[&RunRecord]) -> Option<Breach> {
    let lost = matches!(call.outcome, CallOutcome::Closed);
    if !lost || (call.kept && ran.is_empty()) {
        return None;
    }
    if was_touched(evidence, call.node, call.sent, call.ended) {
        return None;
    }
    Some(Breach::new(Promise::Answered, format!("{call:?}, {ran:?}")))
}

/// Whether a process was killed, ended or stood still around a time. A
/// process that was asked to end is one that promises to answer.
fn was_touched(evidence: &SoakEvidence, node: usize, from: Instant, to: Instant) -> bool {
    let events = evidence.events.get(node).into_iter().flatten();
    let mut hard =
        events.filter(|event| matches!(event.kind, NodeEventKind::Killed | NodeEventKind::Ended));
    let paused = evidence.faults.iter().any(|fault| {
        fault.kind == super::FaultKind::NodePause
            && fault.concerns(node)
            && fault.overlaps(from, to, TOUCH_TIME)
    });
    let near = |at: Instant| from <= at + TOUCH_TIME && at <= to + TOUCH_TIME;
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
    let hidden = evidence
        .faults
        .iter()
        .any(|fault| fault.kind.hides_leaving() && fault.overlaps(call.sent, to, TOUCH_TIME));
    let whole = ran.iter().find(|run| !run.cancelled)?;
    (!hidden).then(|| {
        let what = format!("{} went on at {}", call.id, whole.instance);
        Breach::new(Promise::Cancelled, what)
    })
}

fn check_asked(evidence: &SoakEvidence) -> Vec<Breach> {
    let calls = evidence.calls.iter();
    let calls: HashMap<&str, &CallRecord> = calls.map(|call| (&*call.id, call)).collect();
    let unasked = evidence.runs.iter().filter(|run| {
        let probe = run.request.starts_with(PROBE_PREFIX);
        let asked = calls.get(&*run.request);
        !probe && asked.is_none_or(|call| call.path != run.path)
    });
    unasked
        .map(|run| Breach::new(Promise::AskedFor, format!("{run:?}")))
        .collect()
}

/// A request that crashes backend servers and is sent again and again: it may reach two of
/// them, and a few more where faults keep nodes from hearing of it.
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
            faults.any(|fault| fault.kind.hides_crashes() && fault.overlaps(from, to, TELL_TIME))
        });
        let bound = if timed && !hidden {
            CRASHES_MAX
        } else {
            CRASHES_SURE
        };
        // Servers with another fault don't crash: they answer.
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
        DRAIN_TIME + CLOCK_SLACK
    } else {
        DRAIN_SURE
    };
    let late = evidence.drains().into_iter();
    let late = late.filter(|drain| drain.last_run_after.is_some_and(|after| after > bound));
    late.map(|drain| Breach::new(Promise::Drained, format!("{drain:?}")))
        .collect()
}

fn check_processes(evidence: &SoakEvidence) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (node, events) in evidence.events.iter().enumerate() {
        for event in events {
            if event.kind == NodeEventKind::Ended {
                let what = format!("the process of node {node} ended by itself");
                breaches.push(Breach::new(Promise::KeepsRunning, what));
            }
        }
    }
    breaches
}
