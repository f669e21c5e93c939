//! A backend server that slows, and long jobs among short ones.

mod admission_support;

use std::time::Duration;

use admission_support::{
    CAPACITY, QUEUE, SLOTS, Speed, WatchedGate, gate,
    naive_queue::NaiveQueue,
    play,
    run_report::RunReport,
    steady,
    traffic::{SHORT, Stream, arrivals},
};
use geranium_decisions::admission::{
    AdmissionGate, AdmissionInput, AdmissionSettings, GateDecision, JobEnd, JobId, JobOffer,
    JobReport,
};
use geranium_model::RequestClass;

/// A dependency answers ten times more slowly between 10 and 20 s.
fn uniform(now: f64, _: usize) -> f64 {
    if (10.0..20.0).contains(&now) {
        0.1
    } else {
        1.0
    }
}

/// Between 10 and 20 s jobs beyond three get in each other's way, so that 12
/// at a time get a quarter done of what three do.
fn contended(now: f64, running: usize) -> f64 {
    if (10.0..20.0).contains(&now) {
        (3.0 / running.max(1) as f64).min(1.0).powi(2)
    } else {
        1.0
    }
}

/// Plays four seeds and adds up good answers: while slow, in the two seconds
/// after, and later as a share.
fn play_slowdown(label: &str, speed: Speed) -> [f64; 3] {
    let mut sums = [0.0; 3];
    for seed in 100..104 {
        let stream = Stream {
            rate: 0.7 * CAPACITY,
            to: 30.0,
            patience: 1.0,
            ..SHORT
        };
        let load = arrivals(seed, &[stream]);
        let gated = play(gate(SLOTS, QUEUE), &load, speed);
        let naive = play(NaiveQueue::new(SLOTS), &load, speed);
        let parts = |report: &RunReport| {
            [(10.0, 20.0), (20.0, 22.0), (22.0, 30.0)].map(|(from, to)| report.between(from, to))
        };
        let [slow, recovering, late] = parts(&gated);
        slow.print(&format!("{label}, slow, gate"));
        parts(&naive)[0].print(&format!("{label}, slow, naive"));
        recovering.print(&format!("{label}, after, gate"));
        parts(&naive)[1].print(&format!("{label}, after, naive"));
        assert!(slow.refusal_ms(99.0) <= 10.0);
        assert!(slow.good() >= 2 * parts(&naive)[0].good());
        sums[0] += slow.good() as f64 / 4.0;
        sums[1] += recovering.good_share() / 4.0;
        sums[2] += late.good_share() / 4.0;
    }
    println!(
        "{label}: {:.0} good while slow; share good in 2 s after {:.3}, then {:.4}",
        sums[0], sums[1], sums[2]
    );
    sums
}

/// The backend server waits for a dependency that answers ten times more
/// slowly. Fewer jobs at a time don't help, so a limit that only looks at
/// service times gives up slots that could have answered somebody.
#[test]
fn slows_ten_times_and_fewer_jobs_do_not_help() {
    let [slow, after, later] = play_slowdown("uniform", uniform);
    assert!(slow >= 0.85 * 0.1 * CAPACITY * 10.0);
    assert!(after >= 0.95);
    assert!(later >= 0.999);
}

/// A neighbour takes the backend server's processor, and more jobs at a time
/// make each slower by more than they add. With all slots filled it answers a
/// quarter of what it could, and after the neighbour left the queue is stale.
#[test]
fn slows_under_contention_and_fewer_jobs_help() {
    let [slow, after, later] = play_slowdown("contended", contended);
    let all_slots = 12.0 * (3.0_f64 / 12.0).powi(2) * CAPACITY / 12.0 * 10.0;
    let best = 0.25 * CAPACITY * 10.0;
    println!(
        "contended: {:.2} x all slots filled, {:.2} of the best",
        slow / all_slots,
        slow / best
    );
    assert!(slow >= 2.0 * all_slots);
    assert!(slow >= 0.55 * best);
    assert!(after >= 0.8);
    assert!(later >= 0.999);
}

/// Three of ten short requests suddenly take ten times as long, as another
/// article list is asked for; or all take four times as long, while files run
/// as before. The mean rises while the backend server is as fast as ever; a
/// limit that follows the mean, or one class, would give up slots.
#[test]
fn a_new_mix_leaves_the_limit_alone() {
    let usual = Stream {
        rate: 150.0,
        to: 40.0,
        patience: 60.0,
        ..SHORT
    };
    let files = Stream {
        rate: 50.0,
        work: 0.05,
        class: RequestClass::Bulk,
        ..usual
    };
    let heavy = Stream {
        rate: 60.0,
        work: 0.1,
        from: 20.0,
        ..usual
    };
    let slower = Stream {
        work: 0.04,
        from: 20.0,
        ..usual
    };
    let before = Stream { to: 20.0, ..usual };
    for load in [[usual, files, heavy], [before, files, slower]] {
        let mut watched = WatchedGate::new(SLOTS);
        let report = play(&mut watched, &arrivals(12, &load), steady);
        report.print("new mix, gate");
        println!("lowest limit {}", watched.lowest_limit);
        assert_eq!(watched.lowest_limit, u32::from(SLOTS));
    }
}

/// Catalogue files of two seconds come twice as fast as half the slots can run
/// them. In order of arrival they hold every slot, and a price lookup of 10 ms
/// waits for seconds.
#[test]
fn long_jobs_among_short() {
    let short = Stream {
        rate: 0.4 * CAPACITY,
        to: 60.0,
        ..SHORT
    };
    let bulk = Stream {
        rate: 6.0,
        work: 2.0,
        patience: 60.0,
        class: RequestClass::Bulk,
        ..short
    };
    let of_class = |report: &RunReport, class| report.only(|arrival| arrival.class == class);
    let alone = play(gate(SLOTS, QUEUE), &arrivals(7, &[short]), steady);
    let load = arrivals(7, &[short, bulk]);
    let gated = play(gate(SLOTS, QUEUE), &load, steady);
    let naive = play(NaiveQueue::new(SLOTS), &load, steady);
    let beside = of_class(&gated, RequestClass::Short);
    alone.print("short alone");
    play(NaiveQueue::new(6), &arrivals(7, &[short]), steady).print("short, 6 slots, naive");
    beside.print("short, gate");
    of_class(&naive, RequestClass::Short).print("short, naive");
    of_class(&gated, RequestClass::Bulk).print("bulk, gate");
    of_class(&naive, RequestClass::Bulk).print("bulk, naive");
    let ratio = beside.good_ms(99.0) / alone.good_ms(99.0);
    println!("short p99 {ratio:.2} x its unloaded figure");
    assert!(ratio <= 1.5);
    assert_eq!(beside.good(), beside.offered());
    assert!(of_class(&gated, RequestClass::Bulk).good() as f64 >= 0.9 * 60.0 * 3.0);
}

/// Short requests come at twice capacity for a minute, and a few catalogue
/// files among them. Strict priority would never run a catalogue.
#[test]
fn short_work_does_not_starve_bulk() {
    let short = Stream {
        rate: 2.0 * CAPACITY,
        to: 60.0,
        ..SHORT
    };
    let bulk = Stream {
        rate: 0.3,
        work: 2.0,
        patience: 60.0,
        class: RequestClass::Bulk,
        ..short
    };
    let report = play(gate(SLOTS, QUEUE), &arrivals(8, &[short, bulk]), steady);
    let long = report.only(|arrival| arrival.class == RequestClass::Bulk);
    let short = report.only(|arrival| arrival.class == RequestClass::Short);
    long.print("bulk, gate");
    short.print("short, gate");
    assert_eq!(long.good(), long.offered());
    assert!(short.good() as f64 >= 0.95 * 11.0 / 12.0 * 60.0 * CAPACITY);
}

/// A burst of jobs longer than usual fills every slot of a small server at once,
/// and others wait behind them. Until the first of them ends no job leaves the
/// queue. Those that wait can well be answered in time and must not be refused.
#[test]
fn a_burst_of_longer_jobs_does_not_make_the_queue_hopeless() {
    let input = AdmissionInput {
        slots: 4,
        queue: 64,
        bulk_share: 0.5,
    };
    let mut gate = AdmissionGate::new(AdmissionSettings::try_from(input).expect("good settings"));
    let offer = |id: u64, now: Duration| JobOffer {
        id: JobId(id),
        class: RequestClass::Short,
        caller: id,
        key: None,
        deadline: now + Duration::from_secs(5),
    };
    let mut decisions = Vec::new();
    let start = Duration::from_secs(1);
    gate.offer(start, offer(0, start));
    gate.poll(start, &mut decisions);
    let report = JobReport {
        service: Duration::from_millis(1),
        end: JobEnd::Ran,
    };
    gate.finish(start + Duration::from_millis(1), JobId(0), report);
    for id in 1..=14 {
        gate.offer(start + Duration::from_millis(2), offer(id, start));
    }
    let long = Duration::from_millis(600);
    for step in 2..2_000 {
        let now = start + Duration::from_millis(step);
        decisions.clear();
        gate.poll(now, &mut decisions);
        for decision in &decisions {
            assert!(
                matches!(decision, GateDecision::Run(_)),
                "{decision:?} after {step} ms"
            );
        }
        if now > start + long {
            break;
        }
    }
}
