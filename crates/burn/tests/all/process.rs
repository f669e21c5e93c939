//! Tests of the program's exit status when there is no report.

use std::process::Command;

/// Returns the exit status of the program, run without environment variables.
fn exit(arguments: &[&str]) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_geranium-burn"));
    let output = command.env_clear().args(arguments).output();
    output.unwrap().status.code()
}

#[test]
fn each_group_of_failures_has_its_exit_status() {
    // Nothing listens on port 1, which is privileged.
    let nowhere = ["--node", "127.0.0.1:1", "once", "--over", "0"];
    assert_eq!(exit(&["once"]), Some(41));
    assert_eq!(exit(&["onec"]), Some(2));
    assert_eq!(exit(&["--window", "5", "once"]), Some(2));
    assert_eq!(exit(&nowhere), Some(51));
    let directory = env!("CARGO_MANIFEST_DIR");
    let unreadable = [&["--samples", directory], &nowhere[..]].concat();
    assert_eq!(exit(&unreadable), Some(53));
}
