//! The load tool against stand-in backend servers.

use std::{io::Read, time::Duration};

use clap::Parser;
use geranium_load::{
    AnswerVerdict, FileCheck, LoadOutcome, LoadPlan, RunLine, check_journals, run_load,
};
use geranium_standins::backend::{BackendOptions, BackendServer, SeededBytes};

fn backend() -> BackendServer {
    let arguments = ["backend", "--service", "prices", "--instance", "prices-1"];
    BackendServer::start(BackendOptions::parse_from(arguments)).unwrap()
}

fn load(server: &BackendServer, mix: &str) -> LoadOutcome {
    let mut plan = LoadPlan::new(vec![server.address()], vec![mix.parse().unwrap()]);
    plan.duration = Duration::from_millis(200);
    plan.workers = 8;
    plan.tries = 2;
    run_load(&plan).unwrap()
}

/// Reads the stand-in's journal as the load tool does.
fn runs(server: &BackendServer) -> Vec<RunLine> {
    let text = |record| serde_json::to_string(record).unwrap();
    let lines: Vec<_> = server.records().iter().map(text).collect();
    RunLine::parse_file(&lines.join("\n")).unwrap()
}

#[test]
fn both_sides_make_the_same_file() {
    for bytes in [0, 1, 4_095, 4_096, 4_097, 100_000] {
        let check = FileCheck { bytes, seed: 9 };
        assert_eq!(
            check.judge(SeededBytes::new(9, bytes)),
            AnswerVerdict::Whole
        );
        assert_eq!(
            check.judge(SeededBytes::new(9, bytes + 1)),
            AnswerVerdict::Wrong
        );
        if bytes > 0 {
            assert_eq!(
                check.judge(SeededBytes::new(9, bytes - 1)),
                AnswerVerdict::Short
            );
            assert_eq!(
                check.judge(SeededBytes::new(8, bytes)),
                AnswerVerdict::Wrong
            );
        }
    }
    let mut content = Vec::new();
    SeededBytes::new(9, 5_000)
        .read_to_end(&mut content)
        .unwrap();
    content[4_999] ^= 1;
    let check = FileCheck {
        bytes: 5_000,
        seed: 9,
    };
    assert_eq!(check.judge(&content[..]), AnswerVerdict::Wrong);
}

#[test]
fn answers_of_the_stand_in_are_good_and_in_its_journal() {
    let server = backend();
    for mix in ["short:1:/prices/one", "bulk:1:/lists:70000"] {
        let outcome = load(&server, mix);
        assert!(outcome.report.total.good > 0);
        assert_eq!(outcome.report.total.good, outcome.report.total.requests);
        assert!(check_journals(&outcome.tries, &runs(&server)).hold());
    }
}

// A backend server dies in the middle of every answer. Callers see that the
// answers aren't whole, and none counts as good, wrong or short.
#[test]
fn answers_that_break_off_are_seen_as_broken() {
    let server = backend();
    let total = load(&server, "short:1:/prices/one?die_mid_body=1")
        .report
        .total;
    assert_eq!(total.broken, total.requests);
    assert_eq!(total.resends, total.requests);
    assert!(runs(&server).iter().all(RunLine::ran));
}
