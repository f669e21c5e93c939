//! Who runs, who waits and who is refused.

use std::time::Duration;

use geranium_node::door::{DoorQueue, JobKey, JobOffer, OfferVerdict};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn offer(rank: u8, class: u64, useful_until: u64) -> JobOffer {
    JobOffer {
        rank,
        class,
        may_wait: true,
        useful_until: at(useful_until),
    }
}

/// A queue in front of `slots` slots that has learned a run takes 100 ms.
fn trained(slots: u32) -> DoorQueue {
    let mut queue = DoorQueue::new(slots);
    for _ in 0..200 {
        assert_eq!(queue.offer(at(0), offer(1, 1, 1_000)), OfferVerdict::Run);
        queue.finish(at(0), 1, Some(at(100)));
    }
    queue
}

fn waits(verdict: OfferVerdict) -> JobKey {
    match verdict {
        OfferVerdict::Wait { key, .. } => key,
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
    let verdict = queue.offer(at(0), offer(1, 1, 350));
    let OfferVerdict::Refuse { retry_after } = verdict else {
        panic!("it isn't refused: {verdict:?}");
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
    let probe = JobOffer {
        may_wait: false,
        ..offer(1, 1, 1_000)
    };
    assert_eq!(queue.offer(at(0), probe), OfferVerdict::Run);
    assert_eq!(queue.offer(at(0), probe), OfferVerdict::Busy);
    assert_eq!((queue.running(), queue.waiting()), (1, 0));
    queue.finish(at(100), 1, Some(at(100)));
    assert_eq!(queue.offer(at(100), probe), OfferVerdict::Run);
}
