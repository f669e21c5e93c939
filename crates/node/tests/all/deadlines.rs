//! How long ago a caller first asked.

use std::time::Duration;

use geranium_node::front::DeadlineBook;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CLASS: u64 = 7;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Callers wait for two and a half seconds. In a shortage two of three requests
/// are second and third attempts with what is left. First ones are known as
/// such, and of the others how long ago they began.
#[test]
fn attempts_are_told_from_one_another_in_a_shortage() {
    let mut book = DeadlineBook::default();
    let mut rng = StdRng::seed_from_u64(3);
    for step in 0..600 {
        let spent = match step % 3 {
            0 => 0,
            1 => rng.random_range(20..400),
            _ => rng.random_range(100..1_500),
        };
        let told = book.spent(CLASS, millis(2_499 - spent));
        if step > 20 {
            assert!(
                told.abs_diff(millis(spent)) <= millis(5),
                "{step}: {told:?}"
            );
        }
    }
}

/// Two kinds of callers use one route, some with a second and some with ten.
/// Both are taken for what they are, and who has 700 ms left began with a
/// second.
#[test]
fn each_usual_deadline_is_a_first_attempt() {
    let mut book = DeadlineBook::default();
    for step in 0..200 {
        let deadline = if step % 4 == 0 { 10_000 } else { 1_000 };
        assert_eq!(book.spent(CLASS, millis(deadline)), Duration::ZERO);
    }
    assert_eq!(book.spent(CLASS, millis(700)), millis(300));
}
