//! Which requests the backend server makes while it runs others.

use std::time::Duration;

use geranium_node::inbound::NestedCallDetector;

const CALL: u64 = 1;
const LOOKUP: u64 = 2;

fn micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

/// Guards against mistaking callers' requests for calls of the backend server.
#[test]
fn calls_are_told_from_requests_that_are_refused_beside_them() {
    let mut book = NestedCallDetector::default();
    for step in 1..60 {
        let now = step * 33_000;
        book.request_failed(micros(now), CALL);
        book.run_failed(micros(now + 800));
        // The callers' refusals drift past the others.
        book.request_failed(micros(now + 5_000 + step * 400), LOOKUP);
    }
    assert!(book.is_nested_call(CALL));
    assert!(!book.is_nested_call(LOOKUP));
}

/// A backend server fails a third of its runs by itself, whatever the others
/// do, while callers are refused now and then. Nothing is taken for a call.
#[test]
fn failures_of_the_server_itself_make_no_calls() {
    let mut book = NestedCallDetector::default();
    for step in 1..600 {
        let now = step * 7_000;
        if step % 5 == 0 {
            book.request_failed(micros(now), LOOKUP);
        }
        if step % 3 == 0 {
            book.run_failed(micros(now + 4_500));
        }
    }
    assert!(!book.is_nested_call(LOOKUP));
}
