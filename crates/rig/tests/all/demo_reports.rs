//! What the demo makes of its findings.

use std::{collections::BTreeMap, time::Duration};

use geranium_load::{ClassReport, JournalFindings, LoadReport, PairReport};
use geranium_rig::demo::{DemoReport, DeploymentReport};

fn class() -> ClassReport {
    ClassReport {
        requests: 100,
        good: 97,
        goodput: 10.0,
        wrong_answers: 0,
        short_answers: 0,
        refused: 3,
        unknown: 0,
        broken: 0,
        unreachable: 0,
        without_ticket: 0,
        resends: 0,
        p50_ms: 1.0,
        p99_ms: 2.0,
        p999_ms: 3.0,
        refused_p50_ms: 0.5,
        refused_p99_ms: 0.5,
        codes: BTreeMap::new(),
    }
}

fn good() -> DeploymentReport {
    DeploymentReport {
        name: "nordurljos".to_owned(),
        load: LoadReport {
            seconds: 10.0,
            late_starts: 0,
            total: class(),
            first_caller: class(),
            other_callers: class(),
            classes: BTreeMap::new(),
        },
        findings: JournalFindings::default(),
        convergence: vec![
            Some(Duration::from_millis(120)),
            Some(Duration::from_millis(80)),
        ],
        return_convergence: Some(Duration::from_millis(400)),
        older_versions: 0,
        added: PairReport::default(),
    }
}

/// Reports whether promises held when one deployment's report is changed.
fn held(change: impl Fn(&mut DeploymentReport)) -> bool {
    let mut changed = good();
    change(&mut changed);
    DemoReport {
        deployments: vec![good(), changed],
    }
    .held()
}

#[test]
fn refusals_break_no_promise() {
    assert!(held(|_| {}));
}

#[test]
fn each_broken_promise_is_told() {
    assert!(!held(|report| report.load.total.wrong_answers = 1));
    assert!(!held(|report| report.load.total.short_answers = 1));
    assert!(!held(|report| report
        .findings
        .duplicate_runs
        .push("ticket".to_owned())));
    assert!(!held(|report| report
        .findings
        .ran_after_not_run
        .push("id".to_owned())));
    assert!(!held(|report| report
        .findings
        .answered_without_run
        .push("id".to_owned())));
    assert!(!held(|report| report.older_versions = 1));
    assert!(!held(|report| report.convergence.push(None)));
    assert!(!held(|report| report
        .convergence
        .push(Some(Duration::from_millis(9_001)))));
    assert!(!held(|report| report.return_convergence = None));
}

#[test]
fn the_line_has_its_fields_in_order() {
    let mut slow = good();
    slow.convergence.push(Some(Duration::from_millis(200)));
    slow.added.added.p99_ms = 0.9;
    let report = DemoReport {
        deployments: vec![good(), slow],
    };
    let expected = concat!(
        r#"{"requests":200,"wrong_answers":0,"short_answers":0,"duplicate_runs":0,"#,
        r#""ran_after_not_run":0,"failed":6,"convergence_ms_max":200,"older_version_seen":0,"#,
        r#""added_ms_p50":0.0,"added_ms_p99":0.9}"#
    );
    assert_eq!(report.line().to_string(), expected);
}

#[test]
fn a_version_never_in_force_leaves_no_convergence() {
    let mut stuck = good();
    stuck.convergence.push(None);
    let report = DemoReport {
        deployments: vec![good(), stuck],
    };
    assert_eq!(report.line().convergence_ms_max, None);
}
