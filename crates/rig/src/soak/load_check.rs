//! Holding a load's records against the promises.

use std::net::SocketAddr;

use geranium_load::{AnswerVerdict, TryRecord, older_versions};
use geranium_model::RequestClass;
use geranium_standins::backend::{RunEnd, RunJournal};

use super::{Breach, FailureKind, failure_actor::CarriedOut};
use crate::{BackendPair, FleetRun};

/// Effects of a failure may show for this long after its end: a caller's
/// patience and its grace.
const AFTER_MS: u64 = 5_000;
/// Time after which a leaving backend server gets no new work.
const LEAVE_MS: u64 = 5_000;

/// Returns the wrong and the short answers.
pub(super) fn bad_answers(tries: &[TryRecord]) -> Vec<Breach> {
    let bad =
        |record: &&TryRecord| matches!(record.verdict, AnswerVerdict::Wrong | AnswerVerdict::Short);
    let answers = tries.iter().filter(bad);
    answers
        .map(|record| breach(record, format!("a {} answer", record.verdict)))
        .collect()
}

/// Returns the tries that a node process routed by an older version than it
/// had before; a restart of the node begins a new process.
pub(super) fn versions_fell(
    fleet: &FleetRun,
    tries: &[TryRecord],
    failures: &[CarriedOut],
) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (number, pair) in fleet.pairs.iter().enumerate() {
        let ends = restarts(number, failures);
        let life = |at_ms: u64| ends.iter().filter(|end| **end <= at_ms).count();
        for turn in 0..=ends.len() {
            let own = tries.iter().filter(|record| {
                is_at(record, pair.addresses.callers) && life(record.sent_us / 1_000) == turn
            });
            let own: Vec<TryRecord> = own.cloned().collect();
            let older = older_versions(&own);
            breaches.extend(older.into_iter().map(|record| {
                let version = record.preset_version.unwrap_or_default();
                breach(record, format!("routed by the older version {version}"))
            }));
        }
    }
    breaches
}

fn is_at(record: &TryRecord, node: SocketAddr) -> bool {
    record.node == node.to_string()
}

fn restarts(number: usize, failures: &[CarriedOut]) -> Vec<u64> {
    let own = failures.iter().filter(|one| {
        let kind = one.failure.kind;
        let kept = kind == FailureKind::NodeStop;
        kind.holds_process()
            && !kind.hits_backend()
            && !kept
            && one.failure.targets.contains(&number)
    });
    own.filter_map(|one| one.ended_ms).collect()
}

/// Reports whether a failure hits the node that a try was sent through, or a
/// backend server that may have served it.
fn touches(fleet: &FleetRun, one: &CarriedOut, record: &TryRecord) -> bool {
    let serves = |service: &str| match record.class {
        RequestClass::Short => service == "verdskra" || service == "pantanir",
        RequestClass::Once => service == "pantanir",
        RequestClass::Bulk => service == "vorulisti",
    };
    // Broken-off answers are asked for by requests of their own; what becomes
    // of the connections shows at the same service only.
    if one.failure.kind == FailureKind::MidBody {
        return record.class == RequestClass::Short;
    }
    one.failure.targets.iter().any(|target| {
        let pair = &fleet.pairs[*target];
        serves(&pair.service) || is_at(record, pair.addresses.callers)
    })
}

/// What the graceful ends of a run cut off.
#[derive(Debug, Default)]
pub(super) struct GracefulCheck {
    pub breaches: Vec<Breach>,
    /// Tries in flight at a graceful end that no other failure touched.
    pub judged: u64,
}

/// Looks for tries that were in flight at a graceful end and broke off though
/// no failure that may break answers touched their node or their service.
pub(super) fn graceful_ends(
    fleet: &FleetRun,
    tries: &[TryRecord],
    failures: &[CarriedOut],
) -> GracefulCheck {
    let mut check = GracefulCheck::default();
    let hard = failures
        .iter()
        .filter(|one| one.failure.kind.breaks_answers());
    let hard: Vec<&CarriedOut> = hard.collect();
    let excused = |record: &TryRecord, start: u64, end: u64| {
        hard.iter().any(|one| {
            let until = one.ended_ms.unwrap_or(u64::MAX).saturating_add(AFTER_MS);
            let overlaps = one.began_ms <= end && start <= until;
            overlaps && touches(fleet, one, record)
        })
    };
    for one in failures.iter().filter(|one| one.failure.kind.is_graceful()) {
        for record in tries {
            let sent = record.sent_us / 1_000;
            let end = (record.sent_us + record.latency_us) / 1_000;
            let in_flight = sent < one.began_ms && one.began_ms < end;
            if !in_flight || excused(record, sent, end) {
                continue;
            }
            check.judged += 1;
            let cut = matches!(
                record.verdict,
                AnswerVerdict::Broken | AnswerVerdict::Unknown
            );
            if cut {
                let what = format!(
                    "{} (code {:?}) in flight at {}",
                    record.verdict, record.code, one.failure
                );
                check.breaches.push(breach(record, what));
            }
        }
        if one.overdue {
            check.breaches.push(Breach {
                at_ms: one.began_ms,
                process: format!("{:?}", one.failure.targets),
                what: format!("didn't end after {}", one.failure.kind),
            });
        }
    }
    check
}

/// Returns runs that a backend server began long after its pair was asked to
/// leave and before it came back.
pub(super) fn work_after_leaving(
    fleet: &FleetRun,
    failures: &[CarriedOut],
    started_epoch_ms: u64,
) -> Vec<Breach> {
    let graceful = failures.iter().filter(|one| one.failure.kind.is_graceful());
    let mut breaches = Vec::new();
    for one in graceful {
        let from = started_epoch_ms + one.began_ms + LEAVE_MS;
        let until = started_epoch_ms + one.ended_ms.unwrap_or(one.began_ms);
        for target in &one.failure.targets {
            let pair: &BackendPair = &fleet.pairs[*target];
            let runs = RunJournal::read_file(pair.journal_path()).unwrap_or_default();
            let late = runs
                .iter()
                .filter(|run| run.how != RunEnd::Shed && run.started > from && run.started < until);
            breaches.extend(late.map(|run| Breach {
                at_ms: run.started - started_epoch_ms,
                process: format!("{}.backend", pair.instance),
                what: format!("new work {} after {}", run.request_id, one.failure),
            }));
        }
    }
    breaches
}

fn breach(record: &TryRecord, what: String) -> Breach {
    Breach {
        at_ms: record.sent_us / 1_000,
        process: format!("request {} through {}", record.request_id, record.node),
        what,
    }
}
