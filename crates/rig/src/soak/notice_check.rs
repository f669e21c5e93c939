//! Checks what backend servers got that had named a limit, or said in responses that they leave.
//!
//! Both bind the node that took a request from its caller, from the moment at which it passed on a
//! response that says so. A restart, pause or cut of that node since then excuses it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use geranium_standins::RunRecord;

use super::{Breach, FaultKind, Promise, SoakEvidence};
use crate::{CallRecord, NoticeKind, NoticeSpan};

/// Time after the first response with a limit from which it holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a response with a limit from which it binds the node that passed it on.
const HEARD_TIME: Duration = Duration::from_millis(500);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window, as a multiple of what the limit allows, and beyond that.
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;
/// Longest time after a response that says that its server leaves in which requests may be sent.
const DRAIN_MAX: Duration = Duration::from_secs(2);
/// Margin around a request within which a fault of its node excuses it.
const DISTURBANCE_MARGIN: Duration = Duration::from_millis(500);

/// Returns every breach of what backend servers said of themselves.
pub(super) fn check_notices(evidence: &SoakEvidence) -> Vec<Breach> {
    let calls = evidence.calls.iter();
    let calls: HashMap<&str, &CallRecord> = calls.map(|call| (&*call.id, call)).collect();
    let breaches = evidence.notices.iter().filter_map(|notice| {
        let arrivals = arrivals(evidence, &calls, notice);
        let told = told_nodes(&arrivals, notice);
        let bound: Vec<&Arrival<'_>> = arrivals
            .iter()
            .filter(|arrival| is_bound(evidence, arrival, &told))
            .collect();
        match notice.kind {
            NoticeKind::Limit(per_s) => check_limit(notice, per_s, &bound, &told),
            NoticeKind::Leaving => check_leaving(notice, &bound, &told),
        }
    });
    breaches.collect()
}

/// A request that reached the backend server of a notice.
struct Arrival<'a> {
    run: &'a RunRecord,
    call: &'a CallRecord,
}

fn arrivals<'a>(
    evidence: &'a SoakEvidence,
    calls: &HashMap<&str, &'a CallRecord>,
    notice: &NoticeSpan,
) -> Vec<Arrival<'a>> {
    let runs = evidence.runs.iter();
    let runs = runs.filter(|run| notice.is_of(&run.instance, run.born_ms));
    let arrivals = runs.filter_map(|run| {
        let call = calls.get(&*run.request)?;
        Some(Arrival { run, call })
    });
    arrivals.collect()
}

/// Returns when each node first passed on a response with the notice.
fn told_nodes(arrivals: &[Arrival<'_>], notice: &NoticeSpan) -> HashMap<usize, Instant> {
    let mut told: HashMap<usize, Instant> = HashMap::new();
    let answered = arrivals
        .iter()
        .filter(|arrival| says_notice(notice, arrival.run) && arrival.call.is_good());
    for arrival in answered {
        let at = told.entry(arrival.call.node).or_insert(arrival.call.ended);
        *at = arrival.call.ended.min(*at);
    }
    told
}

/// Whether the response of a run carries the notice.
///
/// A leaving holds for the rest of the start, also after its responses have stopped saying so. A node
/// is bound by a response that did say so, and a later one doesn't tell it anything. A limit holds
/// until the end of its span, so the time of the run is enough.
fn says_notice(notice: &NoticeSpan, run: &RunRecord) -> bool {
    match notice.kind {
        NoticeKind::Limit(_) => run.began >= notice.from,
        NoticeKind::Leaving => run.said_leaving,
    }
}

/// Whether a request comes from a node that was told, and that nothing disturbed since.
fn is_bound(
    evidence: &SoakEvidence,
    arrival: &Arrival<'_>,
    told: &HashMap<usize, Instant>,
) -> bool {
    let node = arrival.call.node;
    let Some(&told_at) = told.get(&node) else {
        return false;
    };
    if arrival.call.sent < told_at {
        return false;
    }
    let restarted = evidence.events.get(node).into_iter().flatten();
    let mut restarted = restarted.filter(|event| told_at <= event.at + DISTURBANCE_MARGIN);
    let disturbed = evidence.faults.iter().any(|fault| {
        is_disturbance(fault.kind)
            && fault.concerns(node)
            && fault.overlaps(told_at, arrival.run.began, DISTURBANCE_MARGIN)
    });
    let before = |at: Instant| at <= arrival.run.began + DISTURBANCE_MARGIN;
    !disturbed && !restarted.any(|event| before(event.at))
}

const fn is_disturbance(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::NodePause
            | FaultKind::HopDelay
            | FaultKind::HopReset
            | FaultKind::HopCut
            | FaultKind::HopCutTowards
            | FaultKind::HopCutFrom
            | FaultKind::HopMute
    )
}

fn check_limit(
    notice: &NoticeSpan,
    per_s: f64,
    bound: &[&Arrival<'_>],
    told: &HashMap<usize, Instant>,
) -> Option<Breach> {
    let settled_at = *told.values().min()? + SETTLE_TIME;
    let counted = bound.iter().filter(|arrival| {
        let heard_at = told[&arrival.call.node] + HEARD_TIME;
        let began = arrival.run.began;
        began >= settled_at.max(heard_at) && began <= notice.to
    });
    let mut starts: Vec<Instant> = counted.map(|arrival| arrival.run.began).collect();
    starts.sort_unstable();
    let windows = starts.iter().enumerate().map(|(index, &first)| {
        let later = starts[index..].iter();
        later.filter(|&&next| next < first + WINDOW).count()
    });
    let most = windows.max()?;
    let allowed = per_s * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_SLACK;
    (most as f64 > allowed).then(|| {
        let what = format!("{notice:?} got {most} requests in {WINDOW:?}");
        Breach::new(Promise::WithinLimit, what)
    })
}

fn check_leaving(
    notice: &NoticeSpan,
    bound: &[&Arrival<'_>],
    told: &HashMap<usize, Instant>,
) -> Option<Breach> {
    let late = bound
        .iter()
        .find(|arrival| arrival.call.sent > told[&arrival.call.node] + DRAIN_MAX)?;
    let told_at = told[&late.call.node];
    let what = format!(
        "{notice:?} got {:?} from {:?}, whose node passed the notice on at {told_at:?}",
        late.run, late.call
    );
    Some(Breach::new(Promise::Drained, what))
}
