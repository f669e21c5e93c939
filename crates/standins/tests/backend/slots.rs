//! Slots, deadlines and cancellation.

use std::thread;

use geranium_model::headers;
use geranium_standins::backend::RunEnd;

use crate::caller::{get, post, record_of, start, wait_until_running};

#[test]
fn beyond_its_slots_it_sheds() {
    let server = start(&["--slots", "1"]);
    let address = server.address();
    let long = thread::spawn(move || get(address, "/a?work_ms=60000", "long").send().unwrap());
    wait_until_running(&server, "long");

    let shed = get(address, "/a", "short").send().unwrap();
    assert_eq!(shed.status().as_u16(), 503);
    assert_eq!(shed.headers()[headers::BACKEND_OUTCOME], "not-run");
    assert_eq!(shed.headers()[headers::BACKEND_LOAD], "1000");
    assert_eq!(record_of(&server, "short").how, RunEnd::Shed);

    assert!(post(address, "/.backend/cancel/long", "").is_success());
    assert_eq!(long.join().unwrap().status().as_u16(), 504);
    assert_eq!(record_of(&server, "long").how, RunEnd::Cancelled);
    assert_eq!(
        post(address, "/.backend/cancel/long", "").status().as_u16(),
        404
    );
    assert!(get(address, "/a", "next").send().unwrap().is_success());
}

#[test]
fn work_past_its_deadline_is_given_up() {
    let server = start(&[]);
    let request = get(server.address(), "/a?work_ms=60000", "slow");
    let answer = request.header(headers::DEADLINE_MS, "20").send().unwrap();
    assert_eq!(answer.status().as_u16(), 504);
    assert!(!answer.headers().contains_key(headers::BACKEND_OUTCOME));
    assert_eq!(record_of(&server, "slow").how, RunEnd::Cancelled);

    let request = get(server.address(), "/a", "overdue");
    let answer = request.header(headers::DEADLINE_MS, "0").send().unwrap();
    assert_eq!(answer.headers()[headers::BACKEND_OUTCOME], "not-run");
    assert_eq!(record_of(&server, "overdue").how, RunEnd::Shed);
}

#[test]
fn a_late_answer_comes_all_the_same() {
    let server = start(&[]);
    let request = get(server.address(), "/a?late=1", "late");
    let answer = request.header(headers::DEADLINE_MS, "10").send().unwrap();
    assert!(answer.is_success());
    assert_eq!(record_of(&server, "late").how, RunEnd::Ran);
}

#[test]
fn draining_finishes_what_runs_and_sheds_the_rest() {
    let server = start(&[]);
    let address = server.address();
    let running = thread::spawn(move || get(address, "/a?work_ms=200", "running").send().unwrap());
    wait_until_running(&server, "running");
    server.drain();
    assert!(running.join().unwrap().is_success());
    let refused = get(address, "/a", "refused").send().unwrap();
    assert_eq!(refused.headers()[headers::BACKEND_OUTCOME], "not-run");
}
