//! Bursts, overload and draining, judged by what callers receive.

mod admission_support;

use admission_support::{
    CAPACITY, QUEUE, SLOTS, gate,
    naive_queue::NaiveQueue,
    play,
    run_report::RunReport,
    steady,
    traffic::{Arrival, SHORT, Stream, arrivals},
};

const REFUSAL_MS: f64 = 10.0;

fn play_both(label: &str, load: &[Arrival]) -> (RunReport, RunReport) {
    let gated = play(gate(SLOTS, QUEUE), load, steady);
    let naive = play(NaiveQueue::new(SLOTS), load, steady);
    gated.print(&format!("{label}, gate"));
    naive.print(&format!("{label}, naive"));
    assert_eq!(gated.held(), 0, "every request gets an outcome");
    (gated, naive)
}

/// Callers send twice what the slots can run for a minute. In order of arrival
/// the wait passes everyone's patience within a second, and from then on every
/// answer comes after its caller left: the server is busy for nobody.
#[test]
fn twice_capacity_for_a_minute() {
    for patience in [0.25, 0.04] {
        let stream = Stream {
            rate: 2.0 * CAPACITY,
            to: 60.0,
            patience,
            ..SHORT
        };
        let (gated, naive) = play_both("twice", &arrivals(1, &[stream]));
        let best = 60.0 * CAPACITY;
        let share = gated.good() as f64 / best;
        let ratio = gated.good() as f64 / naive.good() as f64;
        println!("patience {patience} s: goodput {share:.4} of the best, {ratio:.0} x naive");
        assert!(share >= 0.95);
        assert!(ratio >= 20.0);
        assert!(gated.refusal_ms(99.0) <= REFUSAL_MS);
        assert_eq!(gated.callers_unserved(), 0);
    }
}

/// For one second callers send ten times what the slots can run. In order of
/// arrival that second's work takes ten to run, and whoever comes in the
/// meantime waits behind callers who left long ago.
#[test]
fn burst_of_ten_times_capacity() {
    let calm = Stream {
        rate: 0.5 * CAPACITY,
        ..SHORT
    };
    let burst = Stream {
        rate: 9.5 * CAPACITY,
        from: 5.0,
        to: 6.0,
        ..SHORT
    };
    let (gated, naive) = play_both("burst", &arrivals(3, &[calm, burst]));
    let during = gated.between(5.0, 6.0);
    during.print("the burst, gate");
    assert!(during.good() as f64 >= 0.95 * CAPACITY);
    assert!(gated.refusal_ms(99.0) <= REFUSAL_MS);
    let after = gated.between(6.1, 20.0);
    after.print("after it, gate");
    naive.between(6.1, 20.0).print("after it, naive");
    assert_eq!(after.good(), after.offered());
    assert!(naive.between(6.1, 20.0).good_share() < 0.5);
}

/// A backend server of a service of three drains while its queue is long. What
/// waits can run here to the end of the queue, or be refused as not run and go
/// to the two others, one hop away and busy with work of their own.
#[test]
fn draining_refuses_what_waits() {
    let drained_at = 5.0;
    let busy = Stream {
        rate: 1.2 * CAPACITY,
        to: drained_at,
        ..SHORT
    };
    let here = play(gate(SLOTS, QUEUE), &arrivals(9, &[busy]), steady);
    let waiting = here.waiting_at(drained_at);
    let slowest_here = waiting
        .iter()
        .map(|(_, ended)| ended - drained_at)
        .fold(0.0, f64::max);
    for other_load in [0.5, 0.8] {
        for other in 0..2 {
            let stream = Stream {
                rate: other_load * CAPACITY,
                ..SHORT
            };
            let mut load = arrivals(10 + other, &[stream]);
            let share = waiting.iter().skip(other as usize).step_by(2);
            load.extend(share.map(|(arrival, _)| moved_to_other(arrival, drained_at + 0.001)));
            load.sort_by(|one, other| one.at.total_cmp(&other.at));
            let there = play(gate(SLOTS, QUEUE), &load, steady);
            let moved = there.only(|arrival| arrival.caller == MOVED);
            println!(
                "{} wait: run here, the last ends after {:.1} ms; {} go to a server at {other_load}: \
                 {} end in time, the last after {:.1} ms",
                waiting.len(),
                slowest_here * 1e3,
                moved.offered(),
                moved.good(),
                moved.good_ms(100.0) + 1.0,
            );
            assert_eq!(moved.good(), moved.offered());
        }
    }
}

const MOVED: u64 = 9_999;

fn moved_to_other(arrival: &Arrival, at: f64) -> Arrival {
    let patience = arrival.at + arrival.patience - at;
    Arrival {
        at,
        patience,
        caller: MOVED,
        ..*arrival
    }
}
