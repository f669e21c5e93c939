//! Detection of the requests that the backend server makes while it runs others.

use std::time::Duration;

use geranium_node::inbound::NestedCallDetector;

const CALL: u64 = 1;
const LOOKUP: u64 = 2;

fn micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

/// Guards against mistaking callers' requests for nested calls of the backend server.
#[test]
fn nested_calls_are_told_from_refused_caller_requests() {
    let mut detector = NestedCallDetector::default();
    for step in 1..60 {
        let now = step * 33_000;
        detector.record_failed_request(micros(now), CALL);
        detector.record_failed_run(micros(now + 800));
        // The callers' refusals slowly change their time relative to the failed runs.
        detector.record_failed_request(micros(now + 5_000 + step * 400), LOOKUP);
    }
    assert!(detector.is_nested_call(CALL));
    assert!(!detector.is_nested_call(LOOKUP));
}

/// Guards against taking callers' requests for nested calls when a backend server fails a third of
/// its runs by itself and some callers are refused.
#[test]
fn unrelated_failures_mark_no_route_as_nested_calls() {
    let mut detector = NestedCallDetector::default();
    for step in 1..600 {
        let now = step * 7_000;
        if step % 5 == 0 {
            detector.record_failed_request(micros(now), LOOKUP);
        }
        if step % 3 == 0 {
            detector.record_failed_run(micros(now + 4_500));
        }
    }
    assert!(!detector.is_nested_call(LOOKUP));
}
