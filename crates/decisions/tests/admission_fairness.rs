//! One hot caller or key, judged by what the others receive.

mod admission_support;

use admission_support::{
    CAPACITY, QUEUE, SLOTS, gate,
    naive_queue::NaiveQueue,
    play, steady,
    traffic::{Arrival, SHORT, Stream, arrivals},
};

const SECONDS: f64 = 20.0;
const OTHERS: u64 = 10;

/// Plays one hot party and ten others at twice and ten times capacity.
fn check_others(label: &str, hot: Stream, rest: Stream, is_other: impl Fn(&Arrival) -> bool) {
    for total in [2.0, 10.0] {
        let hot = Stream {
            rate: 0.9 * total * CAPACITY,
            ..hot
        };
        let rest = Stream {
            rate: 0.1 * total * CAPACITY,
            ..rest
        };
        let load = arrivals(4, &[hot, rest]);
        let all = play(gate(SLOTS, QUEUE), &load, steady);
        let gated = all.only(&is_other);
        let naive = play(NaiveQueue::new(SLOTS), &load, steady).only(&is_other);
        gated.print(&format!("{label} x{total}, gate"));
        naive.print(&format!("{label} x{total}, naive"));
        let fair = OTHERS as f64 / (OTHERS + 1) as f64 * CAPACITY * SECONDS;
        let due = fair.min(gated.offered() as f64);
        let share = gated.good() as f64 / due;
        println!(
            "others get {share:.3} of their fair share, naive {:.3}; goodput of all {:.3} of the best",
            naive.good() as f64 / due,
            all.good() as f64 / (CAPACITY * SECONDS),
        );
        assert!(share >= 0.9);
        assert!(naive.good() as f64 / due < 0.1);
        assert!(
            all.good() as f64 >= 0.95 * CAPACITY * SECONDS,
            "the rest is lent"
        );
        assert_eq!(gated.callers_unserved(), 0);
        assert!(all.refusal_ms(99.0) <= 10.0);
    }
}

/// One partner agency pulls in a loop and sends nine of ten requests. In order
/// of arrival it has nine of ten queue places, and the ten other callers wait
/// behind it until they give up.
#[test]
fn others_get_their_share_beside_a_hot_caller() {
    let hot = Stream {
        callers: (1, 1),
        ..SHORT
    };
    let rest = Stream {
        callers: (10, OTHERS),
        ..SHORT
    };
    check_others("hot caller", hot, rest, |arrival| arrival.caller >= 10);
}

/// Everyone asks for the price of one article: nine of ten requests touch one
/// key. No caller is hot, so fairness by caller alone lets that key fill the
/// slots and the queue, and requests for other keys wait behind it.
#[test]
fn other_keys_get_their_share_beside_a_hot_key() {
    let hot = Stream {
        keys: Some((1, 1)),
        ..SHORT
    };
    let rest = Stream {
        keys: Some((10, OTHERS)),
        ..SHORT
    };
    check_others("hot key", hot, rest, |arrival| arrival.key >= Some(10));
}
