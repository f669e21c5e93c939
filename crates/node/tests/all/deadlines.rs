//! Detection of callers' first attempts.

use std::time::Duration;

use geranium_node::outbound::{DeadlineTracker, ResendTracker};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Route hash or fingerprint.
const HASH: u64 = 7;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against taking second and third attempts for first ones in a shortage, when they
/// are two thirds of the requests.
#[test]
fn attempts_are_told_from_one_another_in_a_shortage() {
    let mut tracker = DeadlineTracker::default();
    let mut rng = StdRng::seed_from_u64(3);
    for step in 0..600 {
        let time_since_first_attempt = match step % 3 {
            0 => 0,
            1 => rng.random_range(20..400),
            _ => rng.random_range(100..1_500),
        };
        let elapsed =
            tracker.time_since_first_attempt(HASH, millis(2_499 - time_since_first_attempt));
        if step > 20 {
            assert!(
                elapsed.abs_diff(millis(time_since_first_attempt)) <= millis(5),
                "{step}: {elapsed:?}"
            );
        }
    }
}

/// Guards against taking first attempts for later ones when a route has two usual deadlines.
#[test]
fn each_usual_deadline_is_a_first_attempt() {
    let mut tracker = DeadlineTracker::default();
    for step in 0..200 {
        let deadline = if step % 4 == 0 { 10_000 } else { 1_000 };
        assert_eq!(
            tracker.time_since_first_attempt(HASH, millis(deadline)),
            Duration::ZERO
        );
    }
    assert_eq!(
        tracker.time_since_first_attempt(HASH, millis(700)),
        millis(300)
    );
}

/// Guards against counting a caller's time from its last attempt instead of the first.
#[test]
fn a_caller_that_comes_again_counts_from_its_first_attempt() {
    let mut tracker = ResendTracker::default();
    let end = millis(3_700);
    tracker.record_failed_attempt(HASH, millis(100), end);
    let known = tracker
        .first_attempt_at(HASH, end + millis(8))
        .expect("it is known");
    assert_eq!(known, millis(100));
    tracker.record_failed_attempt(HASH, known, end + millis(8));
    assert_eq!(
        tracker.first_attempt_at(HASH, millis(3_695)),
        Some(millis(100))
    );
}

/// Guards against forgetting a refused request together with an equal one of another caller
/// that stopped waiting earlier.
#[test]
fn callers_that_stopped_waiting_are_forgotten() {
    let mut tracker = ResendTracker::default();
    tracker.record_failed_attempt(HASH, millis(0), millis(1_000));
    tracker.record_failed_attempt(HASH, millis(500), millis(1_500));
    tracker.sweep(millis(1_100));
    assert_eq!(
        tracker.first_attempt_at(HASH, millis(1_500)),
        Some(millis(500))
    );
    tracker.sweep(millis(1_600));
    assert_eq!(tracker.first_attempt_at(HASH, millis(1_500)), None);
}

/// Guards against unbounded memory for refused requests whose callers are still waiting.
/// The newest ones are known, and the oldest are forgotten.
#[test]
fn refusals_that_are_remembered_are_bounded() {
    const REFUSED: u64 = 10_000;
    let mut tracker = ResendTracker::default();
    let end = millis(60_000);
    for fingerprint in 0..REFUSED {
        tracker.record_failed_attempt(fingerprint, millis(fingerprint), end);
    }
    let known =
        (0..REFUSED).filter(|&fingerprint| tracker.first_attempt_at(fingerprint, end).is_some());
    assert!(known.count() < 2_000);
    assert!(tracker.first_attempt_at(REFUSED - 1, end).is_some());
}
