//! The check of versions that callers saw.

use geranium_load::{AnswerVerdict, TryRecord, older_versions};
use geranium_model::{Outcome, RequestClass};

fn answer(node: &str, version: u64, sent_us: u64, received_us: u64) -> TryRecord {
    TryRecord {
        request: 0,
        request_id: format!("{node} {version} {sent_us}"),
        ticket: None,
        class: RequestClass::Short,
        caller: "caller-0".to_owned(),
        node: node.to_owned(),
        status: Some(200),
        outcome: Some(Outcome::Ran),
        code: None,
        preset_version: Some(version),
        sent_us,
        latency_us: received_us - sent_us,
        verdict: AnswerVerdict::Whole,
    }
}

// A node follows the peak preset, then a late message of a peer sets it back:
// a caller who asks after that is routed by the old one.
#[test]
fn a_node_that_goes_back_is_found() {
    let tries = [
        answer("a", 1, 0, 10),
        answer("a", 2, 20, 30),
        answer("a", 1, 31, 40),
    ];
    let found = older_versions(&tries);
    assert_eq!(found, [&tries[2]]);
}

#[test]
fn answers_that_crossed_prove_nothing() {
    let tries = [
        answer("a", 2, 0, 10),
        answer("a", 1, 5, 20),
        answer("a", 1, 10, 20),
    ];
    assert!(older_versions(&tries).is_empty());
}

#[test]
fn nodes_may_differ_for_a_while() {
    let tries = [
        answer("a", 2, 0, 10),
        answer("b", 1, 20, 30),
        answer("b", 2, 31, 40),
    ];
    assert!(older_versions(&tries).is_empty());
}

#[test]
fn a_refusal_without_a_version_is_no_way_back() {
    let tries = [
        answer("a", 2, 0, 10),
        answer("a", 0, 20, 30),
        answer("a", 2, 31, 40),
    ];
    assert!(older_versions(&tries).is_empty());
}
