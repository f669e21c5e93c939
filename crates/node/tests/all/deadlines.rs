//! How long ago a caller first asked.

use std::time::Duration;

use geranium_node::outbound::{DeadlineTracker, ResendTracker};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CLASS: u64 = 7;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against treating second and third attempts as first ones in a shortage.
#[test]
fn attempts_are_told_from_one_another_in_a_shortage() {
    let mut book = DeadlineTracker::default();
    let mut rng = StdRng::seed_from_u64(3);
    for step in 0..600 {
        let time_since_first_attempt = match step % 3 {
            0 => 0,
            1 => rng.random_range(20..400),
            _ => rng.random_range(100..1_500),
        };
        let told = book.time_since_first_attempt(CLASS, millis(2_499 - time_since_first_attempt));
        if step > 20 {
            assert!(
                told.abs_diff(millis(time_since_first_attempt)) <= millis(5),
                "{step}: {told:?}"
            );
        }
    }
}

/// Guards against treating callers with the shorter of two usual deadlines as returning ones.
#[test]
fn each_usual_deadline_is_a_first_attempt() {
    let mut book = DeadlineTracker::default();
    for step in 0..200 {
        let deadline = if step % 4 == 0 { 10_000 } else { 1_000 };
        assert_eq!(
            book.time_since_first_attempt(CLASS, millis(deadline)),
            Duration::ZERO
        );
    }
    assert_eq!(
        book.time_since_first_attempt(CLASS, millis(700)),
        millis(300)
    );
}

/// Guards against counting a returning caller's time from its last attempt.
#[test]
fn a_caller_that_comes_again_counts_from_its_first_attempt() {
    let mut book = ResendTracker::default();
    let end = millis(3_700);
    book.refused(CLASS, millis(100), end);
    let known = book
        .first_attempt_at(CLASS, end + millis(8))
        .expect("it is known");
    assert_eq!(known, millis(100));
    book.refused(CLASS, known, end + millis(8));
    assert_eq!(
        book.first_attempt_at(CLASS, millis(3_695)),
        Some(millis(100))
    );
}

/// Two callers are refused the same lookup, and one of them stops waiting. The other is
/// still known.
#[test]
fn callers_that_stopped_waiting_are_forgotten() {
    let mut book = ResendTracker::default();
    book.refused(CLASS, millis(0), millis(1_000));
    book.refused(CLASS, millis(500), millis(1_500));
    book.sweep(millis(1_100));
    assert_eq!(
        book.first_attempt_at(CLASS, millis(1_500)),
        Some(millis(500))
    );
    book.sweep(millis(1_600));
    assert_eq!(book.first_attempt_at(CLASS, millis(1_500)), None);
}

/// A node refuses ten thousand requests whose callers wait on: the newest are known, and
/// the oldest forgotten, so that they take no more memory.
#[test]
fn refusals_that_are_remembered_are_bounded() {
    const REFUSED: u64 = 10_000;
    let mut book = ResendTracker::default();
    let end = millis(60_000);
    for fingerprint in 0..REFUSED {
        book.refused(fingerprint, millis(fingerprint), end);
    }
    let known =
        (0..REFUSED).filter(|&fingerprint| book.first_attempt_at(fingerprint, end).is_some());
    assert!(known.count() < 2_000);
    assert!(book.first_attempt_at(REFUSED - 1, end).is_some());
}
