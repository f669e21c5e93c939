//! Who runs, who waits and who is refused.

use std::time::Duration;

use geranium_node::inbound::{AdmissionDecision, AdmissionQueue, AdmissionRequest, QueueKey};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn offer(rank: u8, route_hash: u64, target_deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        rank,
        route_hash,
        nested: false,
        may_wait: true,
        target_deadline: at(target_deadline),
        ends_at: at(target_deadline + 1_000),
    }
}

/// A queue in front of `slots` slots that has learned a run takes 100 ms.
fn trained(slots: u32) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(slots);
    for _ in 0..200 {
        assert_eq!(
            queue.offer(at(0), offer(1, 1, 1_000)),
            AdmissionDecision::Run
        );
        queue.finish(at(0), 1, Some(at(100)));
    }
    queue
}

fn waits(decision: AdmissionDecision) -> QueueKey {
    match decision {
        AdmissionDecision::Wait { key, .. } => key,
        other => panic!("it doesn't wait: {other:?}"),
    }
}

#[test]
fn the_more_urgent_rank_goes_first() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let later = waits(queue.offer(at(0), offer(2, 2, 900)));
    let urgent = waits(queue.offer(at(1), offer(1, 1, 2_000)));
    assert_eq!(queue.finish(at(100), 1, Some(at(100))), [urgent]);
    assert_eq!(queue.finish(at(200), 1, Some(at(100))), [later]);
}

#[test]
fn within_a_rank_the_shorter_target_goes_first() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let long = waits(queue.offer(at(0), offer(1, 1, 2_000)));
    let short = waits(queue.offer(at(1), offer(1, 2, 900)));
    assert_eq!(queue.finish(at(100), 1, Some(at(100))), [short]);
    assert_eq!(queue.finish(at(200), 1, Some(at(100))), [long]);
}

/// What can't be answered in time is refused on arrival, with the time in
/// which the excess drains; waiting would only make it late.
#[test]
fn what_cannot_be_in_time_is_refused_at_once() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 350));
    waits(queue.offer(at(0), offer(1, 1, 350)));
    let decision = queue.offer(at(0), offer(1, 1, 350));
    let AdmissionDecision::Refuse { retry_after } = decision else {
        panic!("it isn't refused: {decision:?}");
    };
    assert!(retry_after > Duration::ZERO && retry_after <= at(300));
}

/// A caller leaves while it waits, another's time runs out: neither holds a
/// slot afterwards.
#[test]
fn withdrawn_and_expired_jobs_hold_nothing() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let left = waits(queue.offer(at(0), offer(1, 1, 1_000)));
    let expired = waits(queue.offer(at(0), offer(1, 1, 1_000)));
    assert!(queue.withdraw(left));
    assert!(queue.expire(expired));
    assert!(!queue.expire(expired));
    assert!(queue.finish(at(100), 1, Some(at(100))).is_empty());
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}

/// Fewer slots are reported while more jobs run: no new one starts until
/// enough have ended. More slots start what waits.
#[test]
fn slots_may_change_while_jobs_run() {
    let mut queue = trained(3);
    for _ in 0..3 {
        queue.offer(at(0), offer(1, 1, 1_000));
    }
    assert!(queue.set_slots(at(0), 1).is_empty());
    waits(queue.offer(at(0), offer(1, 1, 5_000)));
    assert!(queue.finish(at(100), 1, None).is_empty());
    assert!(queue.finish(at(100), 1, None).is_empty());
    assert_eq!(queue.finish(at(100), 1, None).len(), 1);
    waits(queue.offer(at(100), offer(1, 1, 5_000)));
    assert_eq!(queue.set_slots(at(100), 2).len(), 1);
}

/// A probe only looks for a free slot: while every one is taken it hears so,
/// and neither waits nor counts as turned away.
#[test]
fn a_probe_runs_at_once_or_not_at_all() {
    let mut queue = trained(1);
    let probe = AdmissionRequest {
        may_wait: false,
        ..offer(1, 1, 1_000)
    };
    assert_eq!(queue.offer(at(0), probe), AdmissionDecision::Run);
    assert_eq!(queue.offer(at(0), probe), AdmissionDecision::Busy);
    assert_eq!((queue.running(), queue.waiting()), (1, 0));
    queue.finish(at(100), 1, Some(at(100)));
    assert_eq!(queue.offer(at(100), probe), AdmissionDecision::Run);
}

/// Guards against runs that are wasted because their calls wait behind new requests.
#[test]
fn calls_of_runs_that_have_begun_go_first() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let order = waits(queue.offer(at(0), offer(1, 1, 1_000)));
    let call = AdmissionRequest {
        nested: true,
        ..offer(1, 2, 50)
    };
    let call = waits(queue.offer(at(1), call));
    assert_eq!(queue.finish(at(100), 1, Some(at(100))), [call]);
    assert_eq!(queue.finish(at(140), 2, Some(at(40))), [order]);
}

/// Guards against late requests that take slots from those that can be in time.
#[test]
fn what_is_late_already_goes_behind_the_others() {
    let mut queue = trained(2);
    queue.offer(at(500), offer(1, 1, 1_000));
    queue.offer(at(500), offer(1, 1, 1_000));
    let late = waits(queue.offer(at(500), offer(1, 1, 520)));
    let due = waits(queue.offer(at(501), offer(1, 1, 901)));
    assert_eq!(queue.finish(at(540), 1, None), [due]);
    assert!(queue.expire(late));
    queue.finish(at(600), 1, Some(at(100)));
    let again = queue.offer(at(600), offer(1, 1, 520));
    assert_eq!(again, AdmissionDecision::Run);
}

/// Guards against queueing requests that will be overtaken for longer than they can wait.
#[test]
fn a_queue_that_is_overtaken_is_known_to_be_slow() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let mut now = 0;
    let mut refused_at_once = false;
    for _ in 0..20 {
        let decision = queue.offer(at(now), offer(1, 1, now + 400));
        let AdmissionDecision::Wait { key, latest } = decision else {
            refused_at_once = true;
            break;
        };
        for _ in 0..3 {
            let call = AdmissionRequest {
                nested: true,
                ..offer(1, 2, now + 50)
            };
            waits(queue.offer(at(now), call));
            now += 100;
            queue.finish(at(now), 2, Some(at(100)));
        }
        assert!(at(now) >= latest, "it is time to give up on the order");
        assert!(queue.expire(key));
    }
    assert!(refused_at_once);
}

/// Guards against refusing a request because its route seems ahead after a single verdict.
#[test]
fn a_route_is_not_ahead_by_a_single_verdict() {
    let mut queue = trained(1);
    queue.offer(at(0), offer(0, 10, 1_000));
    queue.finish(at(100), 10, Some(at(100)));
    queue.offer(at(100), offer(2, 2, 2_000));
    let hopeless = queue.offer(at(100), offer(0, 11, 250));
    assert!(matches!(hopeless, AdmissionDecision::Refuse { .. }));
    waits(queue.offer(at(101), offer(0, 10, 1_500)));
}

/// Guards against refusing requests that find no free slot before any run time is known.
#[test]
fn jobs_wait_before_any_run_has_ended() {
    let mut queue = AdmissionQueue::new(1);
    queue.offer(at(0), offer(1, 1, 1_000));
    let next = waits(queue.offer(at(0), offer(1, 1, 1_000)));
    assert_eq!(queue.finish(at(100), 1, Some(at(100))), [next]);
}
