//! The operators' client as processes, against the stand-in.
//!
//! Needs the binaries built: `cargo build --workspace --bins`.

use std::{
    process::{Command, Output},
    thread,
};

use geranium_rig::ProgramPaths;
use geranium_standins::platform::{DownMode, PlatformServer};

use crate::conformance::{show, start};

const LOST_RACE: i32 = 33;
const UNAVAILABLE: i32 = 31;

fn ctl(server: &PlatformServer, operator: &str, arguments: &[&str]) -> Output {
    let client = ProgramPaths::find()
        .program("geranium-ctl")
        .expect("it is built");
    let mut command = Command::new(client);
    command
        .env_clear()
        .env("GERANIUM_PLATFORM", server.addr().to_string());
    command
        .env("GERANIUM_OPERATOR", operator)
        .args(arguments)
        .output()
        .unwrap()
}

fn status(server: &PlatformServer, operator: &str, arguments: &[&str]) -> i32 {
    ctl(server, operator, arguments).status.code().unwrap()
}

fn history(server: &PlatformServer) -> Vec<serde_json::Value> {
    let output = ctl(server, "reader", &["--output", "json", "history"]);
    let mut report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    serde_json::from_value(report["activations"].take()).unwrap()
}

fn prepare(server: &PlatformServer) {
    let examples = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/heliomagnetique"
    );
    for preset in ["ordinary-day", "peak"] {
        let file = format!("{examples}/{preset}.json");
        assert_eq!(status(server, "anna", &["put", preset, &file]), 0);
    }
}

/// Story: six operators activate at the same time, and three answers to their
/// writes are lost. Each is told 0 or 33, every 0 stands in the history once,
/// and versions have no gaps.
#[test]
fn racing_clients_are_told_what_the_history_shows() {
    let server = start();
    prepare(&server);
    for round in 0..5 {
        show(&server, |plan| plan.lose_write_answers = 3);
        let told: Vec<_> = thread::scope(|scope| {
            let operators: Vec<_> = (0..6)
                .map(|number| {
                    let operator = format!("operator-{round}-{number}");
                    let server = &server;
                    scope.spawn(move || {
                        let status = status(server, &operator, &["activate", "peak"]);
                        (operator, status)
                    })
                })
                .collect();
            operators
                .into_iter()
                .map(|operator| operator.join().unwrap())
                .collect()
        });
        show(&server, |_| {});
        let history = history(&server);
        for (index, entry) in history.iter().enumerate() {
            assert_eq!(entry["version"], index + 1);
        }
        for (operator, status) in told {
            let stands = history
                .iter()
                .filter(|entry| entry["operator"] == *operator)
                .count();
            match status {
                0 => assert_eq!(stands, 1, "{operator}"),
                LOST_RACE => assert_eq!(stands, 0, "{operator}"),
                other => panic!("{operator} ended with {other}"),
            }
        }
    }
}

/// Story: reads come from a replica that lags by ten minutes, then the platform
/// is down. Activations go on by the newest record, and an outage is told as
/// such with nothing changed.
#[test]
fn lag_and_outage_neither_repeat_nor_lower_a_version() {
    let server = start();
    prepare(&server);
    show(&server, |plan| plan.stale_reads_ms = 600_000);
    for preset in ["peak", "ordinary-day", "peak"] {
        assert_eq!(status(&server, "anna", &["activate", preset]), 0);
    }
    for mode in [DownMode::Unavailable, DownMode::Drop] {
        show(&server, |plan| plan.down = Some(mode));
        assert_eq!(status(&server, "anna", &["activate", "peak"]), UNAVAILABLE);
    }
    show(&server, |_| {});
    let versions: Vec<_> = history(&server)
        .iter()
        .map(|entry| entry["version"].clone())
        .collect();
    assert_eq!(versions, [1, 2, 3]);
}
