//! The check against journals.

use geranium_load::{AnswerVerdict, RunHow, RunLine, TryRecord, check_journals};
use geranium_model::{Outcome, RequestClass};

fn told(request_id: &str, ticket: Option<&str>, outcome: Outcome) -> TryRecord {
    TryRecord {
        request: 0,
        request_id: request_id.to_owned(),
        ticket: ticket.map(str::to_owned),
        class: RequestClass::Once,
        caller: "caller-0".to_owned(),
        node: "127.0.0.1:1".to_owned(),
        status: Some(if outcome == Outcome::Ran { 200 } else { 503 }),
        outcome: Some(outcome),
        code: None,
        preset_version: None,
        sent_us: 0,
        latency_us: 1,
        verdict: AnswerVerdict::Whole,
    }
}

fn run(run: u64, request_id: &str, ticket: Option<&str>, how: RunHow) -> RunLine {
    RunLine {
        run,
        process: 1,
        request_id: request_id.to_owned(),
        ticket: ticket.map(str::to_owned),
        how,
    }
}

// An order is confirmed twice: its caller lost the first answer, sent again
// through another node, and a second backend server ran it as well.
#[test]
fn a_ticket_that_ran_twice_is_found() {
    let tries = [
        told("a-0", Some("t"), Outcome::MaybeRun),
        told("a-1", Some("t"), Outcome::Ran),
    ];
    let runs = [
        run(0, "a-0", Some("t"), RunHow::Running),
        run(1, "a-1", Some("t"), RunHow::Ran),
        run(2, "b-0", Some("u"), RunHow::Ran),
    ];
    assert_eq!(check_journals(&tries, &runs).duplicate_runs, ["t"]);
}

// A caller is told that its request did not run, and a backend server had
// begun with it all the same.
#[test]
fn a_run_behind_a_refusal_is_found() {
    let tries = [
        told("a-0", None, Outcome::NotRun),
        told("b-0", None, Outcome::NotRun),
    ];
    let runs = [
        run(0, "a-0", None, RunHow::Cancelled),
        run(1, "b-0", None, RunHow::Shed),
    ];
    assert_eq!(check_journals(&tries, &runs).ran_after_not_run, ["a-0"]);
}

#[test]
fn a_success_without_a_run_is_found() {
    let tries = [
        told("a-0", None, Outcome::Ran),
        told("replayed", Some("t"), Outcome::Ran),
        told("b-0", None, Outcome::Ran),
    ];
    let runs = [
        run(0, "first", Some("t"), RunHow::Ran),
        run(1, "b-0", None, RunHow::Ran),
    ];
    let findings = check_journals(&tries, &runs);
    assert_eq!(findings.answered_without_run, ["a-0"]);
    assert!(findings.duplicate_runs.is_empty());
}

#[test]
fn one_shed_and_one_run_of_a_ticket_are_no_duplicate() {
    let runs = [
        run(0, "a-0", Some("t"), RunHow::Shed),
        run(1, "a-1", Some("t"), RunHow::Ran),
    ];
    assert!(check_journals(&[], &runs).hold());
}

#[test]
fn a_journal_file_holds_the_last_line_of_each_run() {
    let lines = [
        run(0, "a-0", None, RunHow::Running),
        run(0, "a-0", None, RunHow::Ran),
        run(1, "b-0", None, RunHow::Running),
    ];
    let text: Vec<_> = lines
        .iter()
        .map(|line| serde_json::to_string(line).unwrap())
        .collect();
    let parsed = RunLine::parse_file(&text.join("\n")).unwrap();
    assert_eq!(parsed, [lines[1].clone(), lines[2].clone()]);
    assert!(RunLine::parse_file("no journal").is_err());
}
