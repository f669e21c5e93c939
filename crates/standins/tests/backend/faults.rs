//! Faults that are switched on while it runs.

use std::thread;

use geranium_model::headers;
use serde_json::Value;

use crate::caller::{get, post, start};

#[test]
fn it_sheds_everything_on_demand() {
    let server = start(&[]);
    let address = server.address();
    assert!(post(address, "/.backend/faults", r#"{"shed_all":true}"#).is_success());
    let shed = get(address, "/a", "shed").send().unwrap();
    assert_eq!(shed.headers()[headers::BACKEND_OUTCOME], "not-run");
    post(address, "/.backend/faults", "{}");
    assert!(get(address, "/a", "run").send().unwrap().is_success());
}

#[test]
fn it_lies_about_load_and_health() {
    let server = start(&[]);
    let address = server.address();
    post(
        address,
        "/.backend/faults",
        r#"{"false_load":7,"false_health":false}"#,
    );
    let answer = get(address, "/a", "one").send().unwrap();
    assert_eq!(answer.headers()[headers::BACKEND_LOAD], "7");
    let health = get(address, "/.backend/health", "two").send().unwrap();
    assert_eq!(health.status().as_u16(), 503);
    assert_eq!(health.json::<Value>().unwrap()["load"], 7);
}

#[test]
fn a_misspelt_fault_is_refused() {
    let server = start(&[]);
    let answer = post(server.address(), "/.backend/faults", r#"{"shedall":true}"#);
    assert_eq!(answer.status().as_u16(), 400);
}

// A frozen server takes connections and answers nobody. Once it thaws it
// answers what it held, although the callers may have given up on it.
#[test]
fn a_frozen_server_answers_once_it_thaws() {
    let server = start(&["--slots", "1"]);
    let address = server.address();
    post(address, "/.backend/faults", r#"{"frozen":true}"#);
    let callers: Vec<_> = (0..20)
        .map(|_| thread::spawn(move || get(address, "/.backend/health", "").send().unwrap()))
        .collect();
    assert!(callers.iter().all(|caller| !caller.is_finished()));
    post(address, "/.backend/faults", r#"{"frozen":false}"#);
    // Callers that came after the thaw weren't held, and are answered as well.
    for caller in callers {
        assert!(caller.join().unwrap().is_success());
    }
}
