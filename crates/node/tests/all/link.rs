//! Which long answers are begun, and whose bytes go next.

use std::time::Duration;

use geranium_node::link::{LinkDecision, LinkRequest, LinkSchedule, LinkTurn, TransferKey};

/// Link rate with 940 bytes of payload a millisecond.
const LINK_MBPS: f64 = 8.0;
const FILE: u64 = 94_000;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A file that is made in 100 ms and due at `due`.
fn offer(due: u64) -> LinkRequest {
    LinkRequest {
        bytes: FILE,
        made_in: at(100),
        target_deadline: at(due),
        ends_at: at(due + 1_000),
    }
}

fn promised(decision: LinkDecision) -> TransferKey {
    match decision {
        LinkDecision::Promised(key) => key,
        LinkDecision::Refused { retry_after } => panic!("refused for {retry_after:?}"),
    }
}

fn is_refused(decision: LinkDecision) -> bool {
    matches!(decision, LinkDecision::Refused { .. })
}

/// Guards against promising more long answers than the link can deliver in time.
#[test]
fn what_cannot_be_there_when_due_is_refused() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let keys: Vec<TransferKey> = (0..6)
        .map(|_| promised(link.offer(at(0), offer(800))))
        .collect();
    let LinkDecision::Refused { retry_after } = link.offer(at(0), offer(800)) else {
        panic!("a seventh can't be there in time");
    };
    assert!(
        retry_after >= at(30) && retry_after <= at(100),
        "{retry_after:?}"
    );
    link.withdraw(keys[0]);
    promised(link.offer(at(0), offer(800)));
}

/// Guards against promising the same link capacity twice before the answers are sent.
#[test]
fn promises_count_until_they_are_sent_or_withdrawn() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let sent = promised(link.offer(at(0), offer(2_000)));
    let left = promised(link.offer(at(0), offer(2_000)));
    assert_eq!(link.backlog(at(1_000)), at(200));
    link.withdraw(left);
    assert_eq!(link.backlog(at(1_000)), at(100));
    link.sent_of(at(1_000), sent, FILE / 2);
    assert_eq!(link.backlog(at(1_050)), at(50));
    link.sent_of(at(1_050), sent, FILE);
    link.withdraw(sent);
    assert!(link.backlog(at(1_200)) < at(1));
}

/// Guards against planning with the usual length after the real length is known.
#[test]
fn the_real_length_counts_once_it_is_known() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let long = promised(link.offer(at(0), offer(800)));
    promised(link.offer(at(0), offer(800)));
    link.resize(long, FILE * 5);
    assert!(is_refused(link.offer(at(0), offer(800))));
    promised(link.offer(at(0), offer(2_000)));
}

/// Guards against sending the answer that is due later first, or sending too far ahead of the link.
#[test]
fn the_answer_due_first_has_the_link() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let later = promised(link.offer(at(0), offer(2_000)));
    let first = promised(link.offer(at(0), offer(1_000)));
    assert_eq!(link.turn(at(100), first), LinkTurn::Now);
    let mut handed = 0;
    let mut now = at(100);
    while handed < FILE {
        let piece = link.piece() as u64;
        handed += piece;
        link.sent_of(now, first, piece);
        assert!(link.backlog(now) >= at(100));
        let turn = link.turn(now, first);
        if let LinkTurn::After(time) = turn {
            assert_eq!(link.turn(now, later), LinkTurn::Later);
            assert!(time < at(20), "{time:?}");
            now += time;
            assert_eq!(link.turn(now, first), LinkTurn::Now);
        }
    }
    link.withdraw(first);
    assert_eq!(link.next(), Some(later));
    assert!(now > at(170), "the file went out within {now:?}");
}

/// Guards against late answers that displace those that can still be in time.
#[test]
fn a_late_file_gets_what_the_others_leave() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let late = promised(link.offer(at(700), offer(800)));
    let due = promised(link.offer(at(700), offer(1_500)));
    assert!(due < late);
    for _ in 0..10 {
        let _verdict = link.offer(at(700), offer(800));
    }
    assert!(is_refused(link.offer(at(700), offer(800))));
}

/// Guards against answers of unknown length that fill the link all at once after a restart.
#[test]
fn files_that_nobody_knew_to_be_long_take_turns() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let keys: Vec<TransferKey> = (0..10)
        .map(|_| link.take(FILE, at(800), at(1_800)))
        .collect();
    assert!(link.backlog(at(0)) >= at(1_000));
    assert!(
        is_refused(link.offer(at(0), offer(800))),
        "more can't be in time"
    );
    let begun: Vec<TransferKey> = keys
        .into_iter()
        .filter(|&key| {
            let now = link.turn(at(0), key) == LinkTurn::Now;
            if now {
                let piece = link.piece() as u64;
                link.sent_of(at(0), key, piece);
            }
            now
        })
        .collect();
    assert!(begun.len() <= 3, "{} hand on at once", begun.len());
}

/// Guards against one late answer that delays each answer after it.
#[test]
fn a_late_file_makes_no_other_late() {
    let mut link = LinkSchedule::new(LINK_MBPS);
    let late = promised(link.offer(at(0), offer(400)));
    let second = promised(link.offer(at(0), offer(600)));
    let third = promised(link.offer(at(0), offer(800)));
    let LinkTurn::Postponed(postponed) = link.turn(at(390), late) else {
        panic!("it can't be there by 400 ms");
    };
    for (now, key) in [(at(390), second), (at(490), third)] {
        assert_eq!(link.turn(now, key), LinkTurn::Now);
        link.sent_of(now, key, FILE);
        link.withdraw(key);
    }
    assert_eq!(link.turn(at(600), postponed), LinkTurn::Now);
    let next = promised(link.offer(at(1_250), offer(2_400)));
    assert!(postponed < next, "its caller's end is nearer");
}
