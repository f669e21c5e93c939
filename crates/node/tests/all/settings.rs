//! Settings are checked as a whole.

use clap::Parser;
use geranium_model::ResultCode;
use geranium_node::settings::{NodeSettings, RawSettings};

const GOOD: [&str; 17] = [
    "geranium-node",
    "--instance",
    "verdskra-1",
    "--data-centre",
    "sundahofn",
    "--listen",
    "127.0.0.1:1",
    "--admin",
    "127.0.0.1:2",
    "--control",
    "127.0.0.1:3",
    "--data",
    "127.0.0.1:4",
    "--platform",
    "http://127.0.0.1:5",
    "--seed",
    "127.0.0.1:6",
];

fn check(changes: &[(&str, &str)]) -> Result<NodeSettings, Vec<(ResultCode, &'static str)>> {
    let mut arguments: Vec<&str> = GOOD.to_vec();
    for (flag, value) in changes {
        match arguments.iter().position(|found| found == flag) {
            Some(place) => arguments[place + 1] = value,
            None => arguments.extend([*flag, *value]),
        }
    }
    let raw = RawSettings::try_parse_from(arguments).expect("clap takes the flags");
    NodeSettings::try_from(raw).map_err(|error| {
        error
            .faults
            .iter()
            .map(|fault| (fault.code, fault.setting))
            .collect()
    })
}

#[test]
fn good_settings_pass() {
    let settings = check(&[]).expect("good settings");
    assert_eq!(settings.instance.as_str(), "verdskra-1");
}

/// An operator makes five mistakes at once. One start shows them all, each with
/// its flag, so that they needn't be found one start at a time.
#[test]
fn every_fault_is_shown_at_once() {
    let faults = check(&[
        ("--instance", "Not A Name"),
        ("--admin", "nowhere"),
        ("--head-bytes-max", "100"),
        ("--log-level", "loud"),
        ("--log-format", "poem"),
    ]);
    let faults = faults.expect_err("five faults");
    let settings: Vec<&str> = faults.iter().map(|(_, setting)| *setting).collect();
    for flag in [
        "--instance",
        "--admin",
        "--head-bytes-max",
        "--log-level",
        "--log-format",
    ] {
        assert!(
            settings.contains(&flag),
            "{flag} is missing in {settings:?}"
        );
    }
}

/// Settings that are good one by one may contradict each other.
#[test]
fn contradictions_have_a_code_of_their_own() {
    let same = check(&[("--data", "127.0.0.1:3")]).expect_err("two ports on one address");
    assert_eq!(same, vec![(ResultCode::SettingsConflict, "--data")]);
    let linger = check(&[("--drain-linger-ms", "5000"), ("--drain-timeout-s", "1")]);
    assert_eq!(
        linger.expect_err("lingers past the timeout"),
        vec![(ResultCode::SettingsConflict, "--drain-linger-ms")]
    );
}
