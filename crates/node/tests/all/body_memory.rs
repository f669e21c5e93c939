//! Memory of request bodies.

use geranium_node::{
    request_body::{
        ArrivingBody, BodyLedger, BodyMemory, IntakeKey, MemoryLimits, RequestBody,
        SEGMENT_MAX_BYTES,
    },
    request_origin::RequestOrigin,
};
use proptest::prelude::*;

/// Memory for all bodies.
const MEMORY: u64 = 2_000_000;
/// Bytes of a body that is small.
const SMALL: usize = 2_000;
/// Bytes of a body that is large.
const LARGE: usize = 400_000;

fn ledger() -> BodyLedger {
    BodyLedger::new(MemoryLimits::new(MEMORY))
}

fn begin(ledger: &mut BodyLedger, bytes: usize) -> Option<IntakeKey> {
    let key = ledger.begin(RequestOrigin::Caller, 0).ok()?;
    ledger.append(key, &vec![0; bytes]).ok().map(|()| key)
}

/// Guards against large bodies that never end and keep small ones out.
#[test]
fn a_small_body_finds_room_beside_large_incomplete_ones() {
    let mut ledger = ledger();
    for _ in 0..40 {
        begin(&mut ledger, LARGE).expect("the oldest one makes room");
    }
    for _ in 0..200 {
        let small = begin(&mut ledger, SMALL).expect("large ones make room");
        assert_eq!(ledger.finish(small).map(|body| body.len()), Ok(SMALL));
        ledger.remove(small);
    }
}

/// Guards against small bodies that never end and keep others out.
#[test]
fn a_small_body_finds_room_beside_stalled_small_ones() {
    let mut ledger = ledger();
    for _ in 0..1_000 {
        begin(&mut ledger, SMALL).expect("the oldest one makes room");
    }
    let newest = begin(&mut ledger, SMALL).expect("the oldest one makes room");
    assert!(ledger.finish(newest).is_ok());
}

/// Guards against a body that goes on and loses its memory instead of one that stands still.
#[test]
fn a_body_that_stands_still_makes_room_first() {
    let mut ledger = ledger();
    let moving = begin(&mut ledger, LARGE).expect("there is room");
    let stalled = begin(&mut ledger, LARGE).expect("there is room");
    ledger.append(moving, &[0]).expect("there is room");
    for _ in 0..2 {
        begin(&mut ledger, LARGE).expect("the stalled one makes room");
    }
    assert!(ledger.append(stalled, &[0]).is_err());
    assert!(ledger.append(moving, &[0]).is_ok());
}

/// Guards against complete large bodies that leave small ones no room.
#[test]
fn complete_bodies_leave_room_for_small_ones() {
    let memory = BodyMemory::new(MemoryLimits::new(MEMORY));
    let body = |bytes: usize| -> Option<RequestBody> {
        let mut arriving = memory.begin(RequestOrigin::Caller, bytes as u64).ok()?;
        arriving.append(&vec![0; bytes]).ok()?;
        arriving.finish().ok()
    };
    let held: Vec<RequestBody> = (0..40).map_while(|_| body(LARGE)).collect();
    assert!(body(LARGE).is_none());
    assert!(body(SMALL).is_some());
    drop(held);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against a large body that is read although those that are complete leave it no room.
#[test]
fn a_body_that_cannot_fit_is_refused_unread() {
    let memory = BodyMemory::new(MemoryLimits::new(MEMORY));
    assert!(memory.begin(RequestOrigin::Caller, MEMORY).is_err());
    assert!(memory.begin(RequestOrigin::Caller, u64::MAX).is_err());
    let mut arriving = memory
        .begin(RequestOrigin::Caller, 0)
        .expect("there is room");
    arriving.append(&vec![0; 2 * LARGE]).expect("there is room");
    let complete = arriving.finish().expect("the body is complete");
    assert!(
        memory
            .begin(RequestOrigin::Caller, 3 * LARGE as u64)
            .is_err()
    );
    drop(complete);
    assert!(
        memory
            .begin(RequestOrigin::Caller, 3 * LARGE as u64)
            .is_ok()
    );
}

/// Guards against another node's body that is refused for a connection of a caller.
#[test]
fn only_bodies_of_callers_make_room_for_connections() {
    let mut ledger = ledger();
    let relayed = ledger.begin(RequestOrigin::Node, 0).expect("there is room");
    assert!(!ledger.evict_longest_stalled());
    let stalled = begin(&mut ledger, SMALL).expect("there is room");
    assert!(ledger.evict_longest_stalled());
    assert!(ledger.finish(stalled).is_err());
    assert!(ledger.finish(relayed).is_ok());
}

/// Step of a body in a drawn history.
#[derive(Debug, Clone, Copy)]
enum BodyStep {
    Begin,
    Append(usize, usize),
    Finish(usize),
    Drop(usize),
    Release(usize),
}

fn step() -> impl Strategy<Value = BodyStep> {
    prop_oneof![
        Just(BodyStep::Begin),
        (0..50usize, 1..3 * SEGMENT_MAX_BYTES)
            .prop_map(|(body, bytes)| BodyStep::Append(body, bytes)),
        (0..50usize, 1..10usize).prop_map(|(body, bytes)| BodyStep::Append(body, bytes)),
        (0..50usize).prop_map(BodyStep::Finish),
        (0..50usize).prop_map(BodyStep::Drop),
        (0..50usize).prop_map(BodyStep::Release),
    ]
}

proptest! {
    /// Guards against memory that isn't counted, or is never given back on some path.
    #[test]
    fn memory_is_bounded_and_given_back(steps in prop::collection::vec(step(), 1..300)) {
        let memory = BodyMemory::new(MemoryLimits::new(MEMORY));
        let mut arriving: Vec<ArrivingBody> = Vec::new();
        let mut complete: Vec<RequestBody> = Vec::new();
        for step in steps {
            match step {
                BodyStep::Begin => arriving.extend(memory.begin(RequestOrigin::Caller, 0)),
                BodyStep::Append(body, bytes) => {
                    if let Some(body) = arriving.get_mut(body) {
                        let _refused = body.append(&vec![0; bytes]);
                    }
                }
                BodyStep::Finish(body) if body < arriving.len() => {
                    complete.extend(arriving.swap_remove(body).finish());
                }
                BodyStep::Drop(body) if body < arriving.len() => {
                    arriving.swap_remove(body);
                }
                BodyStep::Release(body) if body < complete.len() => {
                    complete.swap_remove(body);
                }
                BodyStep::Finish(_) | BodyStep::Drop(_) | BodyStep::Release(_) => {}
            }
            let held: u64 = complete.iter().map(RequestBody::len).sum();
            prop_assert!(memory.used_bytes() <= MEMORY);
            prop_assert!(held <= memory.used_bytes());
        }
        drop(complete);
        drop(arriving);
        prop_assert_eq!(memory.used_bytes(), 0);
    }
}
