//! Requests that crash backend servers, and requests that only ran beside them.

use std::time::Duration;

use bytes::Bytes;
use geranium_node::{
    crash::{
        CompletionEvidence, CrashHistory, CrashRecord, PoisonLimits, PoisonRegistry, PoisonStatus,
        request_fingerprint,
    },
    request_body::RequestBody,
    store::Revision,
};
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::support::start;

const POISON: u64 = 1;
const LIMITS: PoisonLimits = PoisonLimits {
    crashes: 2,
    refusal_time: Duration::from_secs(600),
};
const SECOND: Duration = Duration::from_secs(1);
/// Second from which the request that crashes backend servers is sent.
const FIRST_SENT: u32 = 30;

fn crash_record(fingerprint: u64, instance: usize, announced: u64) -> CrashRecord {
    CrashRecord {
        fingerprint,
        start: start(format!("till-{instance}-{announced}")),
        completions: 0,
    }
}

fn is_refused(status: PoisonStatus) -> bool {
    matches!(status, PoisonStatus::Refused { .. })
}

/// Result of resending one request every second for ten minutes. The request crashes each
/// backend server that runs it.
///
/// The service has five backend servers. Each has ten frequent requests and a rare one in
/// flight when it crashes.
struct ResendResult {
    crashes: u32,
    frequent_refused: u32,
    rare_refused: u32,
}

fn simulate_resends(guarded: bool) -> ResendResult {
    let mut rng = StdRng::seed_from_u64(9);
    let mut registry = PoisonRegistry::new(LIMITS);
    let frequent: Vec<u64> = (100..140).collect();
    let mut result = ResendResult {
        crashes: 0,
        frequent_refused: 0,
        rare_refused: 0,
    };
    let mut rare_beside = Vec::new();
    for second in 0..600u32 {
        let now = SECOND * second;
        for _ in 0..50 {
            let fingerprint = *frequent.choose(&mut rng).unwrap();
            if is_refused(registry.status(now, fingerprint)) {
                result.frequent_refused += 1;
            } else {
                registry.record_completion(fingerprint);
            }
        }
        let sent = second >= FIRST_SENT;
        if sent && (!guarded || !is_refused(registry.status(now, POISON))) {
            let instance = result.crashes as usize % 5;
            let announced = u64::from(result.crashes);
            registry.record(now, crash_record(POISON, instance, announced));
            for &beside in &frequent[..10] {
                registry.record(now, crash_record(beside, instance, announced));
            }
            let rare = 1_000 + u64::from(result.crashes / 2);
            registry.record(now, crash_record(rare, instance, announced));
            rare_beside.push(rare);
            result.crashes += 1;
        }
        let rare = rare_beside.first().copied().unwrap_or_default();
        result.rare_refused += u32::from(is_refused(registry.status(now, rare)));
    }
    result
}

/// Guards against a request that crashes one backend server after another. Requests that
/// only ran beside it must not be refused for long.
#[test]
fn the_cause_of_crashes_is_refused_and_bystanders_are_not() {
    let (guarded, unguarded) = (simulate_resends(true), simulate_resends(false));
    println!(
        "crashes {} / unguarded {}, frequent refused {}, rare refused for {} s of 600",
        guarded.crashes, unguarded.crashes, guarded.frequent_refused, guarded.rare_refused
    );
    assert_eq!(guarded.crashes, 3);
    assert_eq!(unguarded.crashes, 600 - FIRST_SENT);
    assert_eq!(guarded.frequent_refused, 0);
    assert!(guarded.rare_refused <= 60);
}

/// Guards against refusing the cause of crashes too briefly. A request that was the only
/// one running at a crash is the cause, and stays refused for the whole time. One that ran
/// beside others stays refused as long after one crash above the limit.
#[test]
fn the_cause_of_crashes_stays_refused_for_the_whole_time() {
    let refusal_time = Duration::from_secs(600);
    let mut registry = PoisonRegistry::new(LIMITS);
    for instance in 0..2 {
        registry.record(SECOND, crash_record(POISON, instance, 1));
    }
    let retry_after = refusal_time;
    assert_eq!(
        registry.status(SECOND, POISON),
        PoisonStatus::Refused { retry_after }
    );
    for instance in 10..13 {
        registry.record(SECOND, crash_record(2, instance, 1));
        registry.record(SECOND, crash_record(3, instance, 1));
    }
    assert_eq!(
        registry.status(SECOND, 2),
        PoisonStatus::Refused { retry_after }
    );
    assert_eq!(
        registry.status(SECOND + refusal_time, POISON),
        PoisonStatus::Clear
    );
}

/// Guards against suspecting a request for good that only ran beside the cause. Sixteen
/// successful completions offset the crash.
#[test]
fn completions_clear_a_suspect() {
    let mut registry = PoisonRegistry::new(LIMITS);
    registry.record(SECOND, crash_record(2, 0, 1));
    (0..15).for_each(|_| registry.record_completion(2));
    assert_eq!(registry.status(SECOND, 2), PoisonStatus::Suspect);
    registry.record_completion(2);
    assert_eq!(registry.status(SECOND, 2), PoisonStatus::Clear);
}

/// Guards against credit that grows without bound. A request that completed all day and
/// then crashes each backend server, as its data changed, is refused after only one crash
/// more than an unknown one.
#[test]
fn past_completions_offset_only_one_crash() {
    let mut registry = PoisonRegistry::new(LIMITS);
    (0..100_000).for_each(|_| registry.record_completion(POISON));
    let mut crashes = 0;
    while !is_refused(registry.status(SECOND, POISON)) {
        registry.record(SECOND, crash_record(POISON, crashes, 1));
        crashes += 1;
    }
    assert_eq!(crashes, 3);
}

/// Guards against refusing a frequent lookup for over a minute. Several backend servers
/// crashed together while each ran it.
#[test]
fn crashes_together_refuse_a_frequent_lookup_for_a_minute_at_most() {
    let mut registry = PoisonRegistry::new(LIMITS);
    (0..1_000).for_each(|_| registry.record_completion(7));
    for instance in 0..4 {
        registry.record(SECOND, crash_record(7, instance, 1));
        registry.record(SECOND, crash_record(100 + instance as u64, instance, 1));
    }
    let refused = [2, 61, 300].map(|at| is_refused(registry.status(SECOND * at, 7)));
    assert_eq!(refused, [true, false, false]);
}

/// Guards against unbounded memory after a bad release that crashes hundreds of backend
/// servers. The records of the latest crashes are kept.
#[test]
fn memory_is_bounded() {
    let mut registry = PoisonRegistry::new(LIMITS);
    for crash in 0..1_000usize {
        for beside in 0..12 {
            registry.record(SECOND, crash_record((crash * 12 + beside) as u64, crash, 1));
        }
    }
    assert_eq!(registry.records().count(), 4_096);
    assert_eq!(registry.status(SECOND, 11_999), PoisonStatus::Suspect);
    assert_eq!(registry.status(SECOND, 0), PoisonStatus::Clear);
}

/// Guards against refusing a request that crashes met by chance: it completed between them, as only
/// its sender or the node beside another backend server may know.
#[test]
fn crashes_between_completions_refuse_nothing() {
    for completions in 0..6 {
        let mut registry = PoisonRegistry::new(LIMITS);
        for crash in 0..10 {
            let record = CrashRecord {
                completions: if crash == 0 { 0 } else { completions },
                ..crash_record(POISON, crash, 1)
            };
            assert!(registry.record(SECOND, record));
            let refused = is_refused(registry.status(SECOND, POISON));
            assert_eq!(refused, crash > 0 && completions < 3, "{completions}");
        }
    }
    let mut registry = PoisonRegistry::new(LIMITS);
    for crash in 0..10 {
        registry.record(SECOND, crash_record(POISON, crash, 1));
        assert!(!is_refused(registry.status(SECOND, POISON)));
        (0..3).for_each(|_| registry.record_completion(POISON));
    }
}

/// Guards against a refusal that stands because the completions became known after the crash.
#[test]
fn a_later_record_of_the_same_crash_brings_its_completions() {
    let mut registry = PoisonRegistry::new(LIMITS);
    registry.record(SECOND, crash_record(POISON, 0, 1));
    registry.record(SECOND, crash_record(POISON, 1, 1));
    assert!(is_refused(registry.status(SECOND, POISON)));
    let record = CrashRecord {
        completions: 10,
        ..crash_record(POISON, 1, 1)
    };
    for _ in 0..2 {
        assert!(!registry.record(SECOND, record.clone()));
        assert_eq!(registry.status(SECOND, POISON), PoisonStatus::Suspect);
    }
}

/// Guards against refusing a request for the whole time that has completed since its first crash.
#[test]
fn a_request_that_has_completed_is_refused_for_a_minute_at_most() {
    let mut registry = PoisonRegistry::new(LIMITS);
    registry.record(SECOND, crash_record(POISON, 0, 1));
    registry.record_completion(POISON);
    registry.record(SECOND, crash_record(POISON, 1, 1));
    let refused = [2, 61].map(|at| is_refused(registry.status(SECOND * at, POISON)));
    assert_eq!(refused, [true, false]);
}

/// Guards against completions before a crash that count as completions after it, when their node
/// doesn't know of the crash yet.
#[test]
fn a_sender_that_missed_a_crash_proves_nothing() {
    let mut history = CrashHistory::default();
    for (crash, counted) in [(0, 9), (1, 9), (2, 0)] {
        let of_sender = Some(CompletionEvidence {
            crashes: 1,
            completions: 9,
        });
        assert_eq!(history.completions(POISON, of_sender), counted);
        history.record(SECOND, crash_record(POISON, crash, 1), Revision(0));
    }
    history.record_completion(POISON);
    assert_eq!(history.completions(POISON, None), 1);
}

/// Guards against records that nodes of earlier versions can't exchange with those of this one.
#[test]
fn records_without_completions_stay_as_they_were() {
    let record = crash_record(POISON, 0, 1);
    let text = serde_json::to_string(&record).expect("plain fields");
    assert!(!text.contains("completions"), "{text}");
    assert_eq!(serde_json::from_str(&text).ok(), Some(record));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against nodes that disagree on a request. Records reach nodes in any order and
    /// more than once, and every node must decide like one that counts distinct crashes in
    /// a plain set.
    #[test]
    fn order_and_duplicates_change_nothing(
        crashes in prop::collection::vec((0..4u64, 0..3usize, 0..2u64), 0..40),
    ) {
        let mut registry = PoisonRegistry::new(LIMITS);
        let mut distinct = std::collections::BTreeSet::new();
        for &(fingerprint, instance, announced) in &crashes {
            let new = registry.record(SECOND, crash_record(fingerprint, instance, announced));
            prop_assert_eq!(new, distinct.insert((fingerprint, instance, announced)));
        }
        let mut reversed = PoisonRegistry::new(LIMITS);
        for &(fingerprint, instance, announced) in crashes.iter().rev() {
            reversed.record(SECOND, crash_record(fingerprint, instance, announced));
        }
        for fingerprint in 0..4 {
            let count = distinct.iter().filter(|crash| crash.0 == fingerprint).count();
            let status = registry.status(SECOND, fingerprint);
            prop_assert_eq!(status, reversed.status(SECOND, fingerprint));
            prop_assert_eq!(status == PoisonStatus::Clear, count == 0);
            prop_assert_eq!(is_refused(status), count >= 2);
        }
    }

    /// Guards against equal fingerprints of different requests. The same bytes may be
    /// divided differently between path and body.
    #[test]
    fn fingerprints_tell_path_and_body_apart(text in "[a-z]{8}", first in 0..9usize, second in 0..9usize) {
        let cut = |at: usize| {
            let uri: Uri = format!("/{}", &text[..at]).parse().unwrap();
            let body = RequestBody::from(Bytes::copy_from_slice(&text.as_bytes()[at..]));
            request_fingerprint(&Method::POST, &uri, &HeaderMap::new(), &body)
        };
        prop_assert_eq!(cut(first) == cut(second), first == second);
    }
}
