//! Requests that crash servers, and innocents that ran beside them.

use std::time::Duration;

use geranium_node::crash::{
    CrashRecord, PoisonLimits, PoisonRegistry, PoisonStatus, request_fingerprint,
};
use http::{HeaderMap, Method, Uri};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};

use crate::support::start;

const POISON: u64 = 1;
const TERMS: PoisonLimits = PoisonLimits {
    crashes: 2,
    refusal_time: Duration::from_secs(600),
};
const SECOND: Duration = Duration::from_secs(1);
/// Second from which the crashing request is sent.
const FIRST_SENT: u32 = 30;

fn row(fingerprint: u64, instance: usize, announced: u64) -> CrashRecord {
    CrashRecord {
        fingerprint,
        start: start(format!("till-{instance}-{announced}")),
    }
}

fn refused(status: PoisonStatus) -> bool {
    matches!(status, PoisonStatus::Refused { .. })
}

/// What a person resending one request a second does to a service of five
/// servers, each with the ten hottest prices and a rare request in flight, over
/// ten minutes.
struct Resends {
    crashes: u32,
    hot_refused: u32,
    cold_refused: u32,
}

fn resend(guarded: bool) -> Resends {
    let mut rng = StdRng::seed_from_u64(9);
    let mut registry = PoisonRegistry::new(TERMS);
    let hot: Vec<u64> = (100..140).collect();
    let mut result = Resends {
        crashes: 0,
        hot_refused: 0,
        cold_refused: 0,
    };
    let mut cold_beside = Vec::new();
    for second in 0..600u32 {
        let now = SECOND * second;
        for _ in 0..50 {
            let price = *hot.choose(&mut rng).unwrap();
            if refused(registry.status(now, price)) {
                result.hot_refused += 1;
            } else {
                registry.completed(price);
            }
        }
        let sent = second >= FIRST_SENT;
        if sent && (!guarded || !refused(registry.status(now, POISON))) {
            let instance = result.crashes as usize % 5;
            let announced = u64::from(result.crashes);
            registry.record(now, row(POISON, instance, announced));
            for &beside in &hot[..10] {
                registry.record(now, row(beside, instance, announced));
            }
            let cold = 1_000 + u64::from(result.crashes / 2);
            registry.record(now, row(cold, instance, announced));
            cold_beside.push(cold);
            result.crashes += 1;
        }
        let cold = cold_beside.first().copied().unwrap_or_default();
        result.cold_refused += u32::from(refused(registry.status(now, cold)));
    }
    result
}

/// Guards against a request that crashes server after server, and refusing others long for it.
#[test]
fn poison_is_stopped_and_innocents_are_not() {
    let (guarded, naive) = (resend(true), resend(false));
    println!(
        "crashes {} / naive {}, hot refused {}, cold refused for {} s of 600",
        guarded.crashes, naive.crashes, guarded.hot_refused, guarded.cold_refused
    );
    assert_eq!(guarded.crashes, 3);
    assert_eq!(naive.crashes, 600 - FIRST_SENT);
    assert_eq!(guarded.hot_refused, 0);
    assert!(guarded.cold_refused <= 60);
}

/// A request that was alone on both servers can't be a bystander: it stays out
/// for the whole hold. One crash more is proof enough for one in company.
#[test]
fn the_guilty_stay_out_for_the_whole_hold() {
    let refusal_time = Duration::from_secs(600);
    let mut registry = PoisonRegistry::new(TERMS);
    for instance in 0..2 {
        registry.record(SECOND, row(POISON, instance, 1));
    }
    let retry_after = refusal_time;
    assert_eq!(
        registry.status(SECOND, POISON),
        PoisonStatus::Refused { retry_after }
    );
    for instance in 10..13 {
        registry.record(SECOND, row(2, instance, 1));
        registry.record(SECOND, row(3, instance, 1));
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

/// A price sat beside a crash that another request caused. Sixteen good answers
/// later it may be retried again like any other.
#[test]
fn good_answers_clear_a_suspect() {
    let mut registry = PoisonRegistry::new(TERMS);
    registry.record(SECOND, row(2, 0, 1));
    (0..15).for_each(|_| registry.completed(2));
    assert_eq!(registry.status(SECOND, 2), PoisonStatus::Suspect);
    registry.completed(2);
    assert_eq!(registry.status(SECOND, 2), PoisonStatus::Clear);
}

/// A price that was fine all day turns bad with new data and now crashes each
/// server. Its past buys it one crash, no more.
#[test]
fn a_good_past_buys_one_crash() {
    let mut registry = PoisonRegistry::new(TERMS);
    (0..100_000).for_each(|_| registry.completed(POISON));
    let mut crashes = 0;
    while !refused(registry.status(SECOND, POISON)) {
        registry.record(SECOND, row(POISON, crashes, 1));
        crashes += 1;
    }
    assert_eq!(crashes, 3);
}

/// Guards against refusing a popular lookup for over a minute after servers ended together.
#[test]
fn servers_lost_together_shut_a_popular_lookup_out_for_a_minute() {
    let mut registry = PoisonRegistry::new(TERMS);
    (0..1_000).for_each(|_| registry.completed(7));
    for instance in 0..4 {
        registry.record(SECOND, row(7, instance, 1));
        registry.record(SECOND, row(100 + instance as u64, instance, 1));
    }
    let verdicts = [2, 61, 300].map(|at| refused(registry.status(SECOND * at, 7)));
    assert_eq!(verdicts, [true, false, false]);
}

/// A bad release crashes hundreds of servers. Memory stays bounded, and the
/// rows of the latest crashes are the ones kept.
#[test]
fn memory_is_bounded() {
    let mut registry = PoisonRegistry::new(TERMS);
    for crash in 0..1_000usize {
        for beside in 0..12 {
            registry.record(SECOND, row((crash * 12 + beside) as u64, crash, 1));
        }
    }
    assert_eq!(registry.records().count(), 4_096);
    assert_eq!(registry.status(SECOND, 11_999), PoisonStatus::Suspect);
    assert_eq!(registry.status(SECOND, 0), PoisonStatus::Clear);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Rows reach nodes in any order and more than once; every node must come
    /// to the same verdict as one that counts distinct crashes in a plain set.
    #[test]
    fn order_and_doubles_change_nothing(
        crashes in prop::collection::vec((0..4u64, 0..3usize, 0..2u64), 0..40),
    ) {
        let mut registry = PoisonRegistry::new(TERMS);
        let mut plain = std::collections::BTreeSet::new();
        for &(fingerprint, instance, announced) in &crashes {
            let new = registry.record(SECOND, row(fingerprint, instance, announced));
            prop_assert_eq!(new, plain.insert((fingerprint, instance, announced)));
        }
        let mut twin = PoisonRegistry::new(TERMS);
        for &(fingerprint, instance, announced) in crashes.iter().rev() {
            twin.record(SECOND, row(fingerprint, instance, announced));
        }
        for fingerprint in 0..4 {
            let count = plain.iter().filter(|crash| crash.0 == fingerprint).count();
            let status = registry.status(SECOND, fingerprint);
            prop_assert_eq!(status, twin.status(SECOND, fingerprint));
            prop_assert_eq!(status == PoisonStatus::Clear, count == 0);
            prop_assert_eq!(refused(status), count >= 2);
        }
    }

    /// Moving bytes from the path to the body must change the hash.
    #[test]
    fn prints_tell_parts_apart(text in "[a-z]{8}", first in 0..9usize, second in 0..9usize) {
        let cut = |at: usize| {
            let uri: Uri = format!("/{}", &text[..at]).parse().unwrap();
            request_fingerprint(&Method::POST, &uri, &HeaderMap::new(), &text.as_bytes()[at..])
        };
        prop_assert_eq!(cut(first) == cut(second), first == second);
    }
}
