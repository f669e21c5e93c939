//! The client as a process: exit statuses.

use std::process::Command;

/// Runs the client without any of the caller's settings.
fn exit(arguments: &[&str]) -> i32 {
    let mut command = Command::new(env!("CARGO_BIN_EXE_geranium-ctl"));
    command.env_clear().args(arguments);
    command.output().unwrap().status.code().unwrap()
}

#[test]
fn each_group_of_failures_has_its_exit_status() {
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/nordurljos/peak.json"
    );
    // Port 1 is privileged, and nothing listens there.
    let nowhere = "127.0.0.1:1";
    assert_eq!(exit(&["check", example]), 0);
    assert_eq!(exit(&["chekc", example]), 2);
    assert_eq!(exit(&["check", env!("CARGO_MANIFEST_DIR")]), 53);
    assert_eq!(
        exit(&["check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")]),
        22
    );
    assert_eq!(exit(&["list"]), 41);
    assert_eq!(exit(&["--platform", nowhere, "list"]), 31);
    assert_eq!(exit(&["--platform", nowhere, "activate", "peak"]), 41);
    assert_eq!(
        exit(&[
            "--platform",
            nowhere,
            "--operator",
            "anna",
            "activate",
            "peak"
        ]),
        31
    );
    assert_eq!(exit(&["--node", nowhere, "nodes"]), 51);
}
