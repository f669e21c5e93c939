//! The queue under load, beside one in order of arrival, by what callers get.

use std::{collections::HashMap, time::Duration};

use geranium_node::inbound::{AdmissionDecision, AdmissionQueue, AdmissionRequest, QueueKey};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// A class of requests.
#[derive(Debug, Clone, Copy)]
struct LoadClass {
    rank: u8,
    per_second: f64,
    work: Duration,
    target: Duration,
}

/// What the callers of a class got.
#[derive(Debug, Clone, Copy, Default)]
struct ClassResult {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl ClassResult {
    fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }
}

#[derive(Debug, Clone, Copy)]
struct Running {
    class: usize,
    ends_at: Duration,
    began: Duration,
    target_at: Duration,
}

const SLOTS: usize = 12;
const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(30);

/// Plays a load on a queue, or on an unbounded one in order of arrival. Runs take
/// from half of their mean to one and a half.
fn play(classes: &[LoadClass], arrival_order: bool) -> Vec<ClassResult> {
    play_runs(classes, arrival_order, |rng| 0.5 + rng.random::<f64>())
}

/// Draws a run in means, spread like those of the backend servers: most
/// are shorter than the mean, one in twelve takes twice as long and more.
fn skewed(rng: &mut StdRng) -> f64 {
    const SIGMA: f64 = 0.7;
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

/// Plays a load with runs of which `draw` returns the length in means.
fn play_runs(
    classes: &[LoadClass],
    arrival_order: bool,
    draw: impl Fn(&mut StdRng) -> f64,
) -> Vec<ClassResult> {
    let mut rng = StdRng::seed_from_u64(11);
    let mut queue = AdmissionQueue::new(SLOTS as u32);
    let mut line: Vec<(usize, Duration)> = Vec::new();
    let mut waiting: HashMap<QueueKey, (usize, Duration, Duration)> = HashMap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut results = vec![ClassResult::default(); classes.len()];
    let mut now = Duration::ZERO;
    while now < LENGTH {
        let mut begun: Vec<(usize, Duration)> = Vec::new();
        let (ended, still): (Vec<_>, Vec<_>) =
            running.drain(..).partition(|job| job.ends_at <= now);
        running = still;
        for job in ended {
            let result = &mut results[job.class];
            if now <= job.target_at {
                result.in_time += 1;
            } else {
                result.late += 1;
            }
            for key in queue.finish(now, job.class as u64, Some(now.saturating_sub(job.began))) {
                let (class, target_at, _) = waiting.remove(&key).expect("it waited");
                begun.push((class, target_at));
            }
        }
        let expired: Vec<QueueKey> = waiting
            .iter()
            .filter(|(_, job)| job.2 < now)
            .map(|(&key, _)| key)
            .collect();
        for key in expired {
            queue.expire(key);
            let (class, ..) = waiting.remove(&key).expect("it waited");
            results[class].refused += 1;
        }
        for (number, class) in classes.iter().enumerate() {
            if rng.random::<f64>() >= class.per_second * STEP.as_secs_f64() {
                continue;
            }
            results[number].offered += 1;
            let target_at = now + class.target;
            if arrival_order {
                line.push((number, target_at));
                continue;
            }
            let offer = AdmissionRequest {
                rank: class.rank,
                route_hash: number as u64,
                nested: false,
                may_wait: true,
                target_deadline: target_at,
                ends_at: target_at + millis(500),
            };
            match queue.offer(now, offer) {
                AdmissionDecision::Run => begun.push((number, target_at)),
                AdmissionDecision::Wait { key, latest } => {
                    waiting.insert(key, (number, target_at, latest));
                }
                AdmissionDecision::Refuse { .. } | AdmissionDecision::Busy => {
                    results[number].refused += 1;
                }
            }
        }
        if arrival_order {
            let free = SLOTS - running.len();
            begun = line.drain(..free.min(line.len())).collect();
        }
        for (class, target_at) in begun {
            let spread = draw(&mut rng);
            let ends_at = now + classes[class].work.mul_f64(spread);
            running.push(Running {
                class,
                ends_at,
                began: now,
                target_at,
            });
        }
        now += STEP;
    }
    results
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a queue that serves nearly every request late under overload.
#[test]
fn overload_is_refused_and_not_served_late() {
    let orders = LoadClass {
        rank: 1,
        per_second: 112.0,
        work: millis(160),
        target: millis(500),
    };
    let queued = play(&[orders], false)[0];
    let naive = play(&[orders], true)[0];
    assert!(queued.share_in_time() > 0.6, "{queued:?}");
    assert!(
        f64::from(queued.late) < 0.05 * f64::from(queued.offered),
        "{queued:?}"
    );
    assert!(naive.share_in_time() < 0.1, "{naive:?}");
}

/// Short inner calls and long orders of one rank share a full backend server.
/// Neither is starved for the other's sake.
#[test]
fn classes_of_one_rank_share_a_shortage() {
    let orders = LoadClass {
        rank: 1,
        per_second: 60.0,
        work: millis(190),
        target: millis(500),
    };
    let calls = LoadClass {
        rank: 1,
        per_second: 180.0,
        work: millis(30),
        target: millis(120),
    };
    let results = play(&[orders, calls], false);
    let (orders, calls) = (results[0].share_in_time(), results[1].share_in_time());
    assert!(orders > 0.45 && calls > 0.55, "{results:?}");
    assert!(calls - orders < 0.25, "{results:?}");
}

/// A more urgent class is served before a less urgent one, which gets what is
/// left.
#[test]
fn the_urgent_class_is_served_before_the_other() {
    let orders = LoadClass {
        rank: 1,
        per_second: 40.0,
        work: millis(160),
        target: millis(500),
    };
    let lookups = LoadClass {
        rank: 2,
        per_second: 80.0,
        work: millis(120),
        target: millis(400),
    };
    let results = play(&[orders, lookups], false);
    assert!(results[0].share_in_time() > 0.9, "{results:?}");
    let lookups = results[1].share_in_time();
    assert!(lookups > 0.3 && lookups < 0.75, "{results:?}");
}

/// Below the capacity nobody is refused but a few in the worst moments.
#[test]
fn a_usual_load_is_served_whole() {
    let orders = LoadClass {
        rank: 1,
        per_second: 50.0,
        work: millis(160),
        target: millis(500),
    };
    let queued = play(&[orders], false)[0];
    assert!(queued.share_in_time() > 0.97, "{queued:?}");
}

/// Guards against a queue longer than the slots need to stay busy, which makes answers late.
#[test]
fn a_shortage_makes_few_answers_late() {
    let lookups = LoadClass {
        rank: 2,
        per_second: 150.0,
        work: millis(120),
        target: millis(400),
    };
    let queued = play_runs(&[lookups], false, skewed)[0];
    assert!(queued.share_in_time() > 0.61, "{queued:?}");
    let served = f64::from(queued.late + queued.in_time);
    assert!(f64::from(queued.late) < 0.04 * served, "{queued:?}");
}
