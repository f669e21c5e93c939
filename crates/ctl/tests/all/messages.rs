//! What operators read: help, reports and errors.

use std::net::SocketAddr;

use clap::{CommandFactory, Parser};
use geranium_ctl::{
    Command, CtlError, Invocation, OutputFormat, Patience, PresetSource, Session, exit_status, run,
};
use geranium_model::{InForce, OperationId, PresetVersion, ResultCode};
use geranium_platform::PlatformError;
use strum::VariantArray;

use crate::support::{name, prepared, preset};

fn session() -> Session {
    let store = Some(Box::new(prepared()) as Box<_>);
    Session::new(store, Some("anna".to_owned()), Vec::new(), Patience::new(1))
}

/// Hides what differs from run to run.
fn stable(text: &str) -> String {
    let words = text.split_inclusive([' ', '\n', ',', '"']).map(|word| {
        let bare = word.trim_end_matches([' ', '\n', ',', '"', ')']);
        let is_hex = bare.len() == 32 && bare.chars().all(|c| c.is_ascii_hexdigit());
        let is_time = bare.ends_with('Z') && bare.contains('T') && bare.len() == 20;
        match (is_hex, is_time) {
            (true, _) => word.replace(bare, "OPERATION"),
            (_, true) => word.replace(bare, "TIME"),
            _ => word.to_owned(),
        }
    });
    words.collect()
}

fn record() -> InForce {
    InForce {
        version: PresetVersion::new(8),
        preset: name("peak"),
        digest: preset(1).digest(),
        operation: OperationId::from_random(10),
        operator: "bera".to_owned(),
        written_at_ms: 1_709_210_096_000,
    }
}

#[test]
fn help_names_every_command_and_setting() {
    insta::assert_snapshot!(Invocation::command().render_long_help());
}

#[test]
fn reports_read_well() {
    let session = session();
    let activate = |preset| Command::Activate {
        name: name(preset),
        expect_version: None,
    };
    let named = |text| PresetSource::Named(name(text));
    let commands = [
        Command::List,
        activate("peak"),
        Command::History { last: 20 },
        Command::List,
        Command::Show { name: name("peak") },
        Command::Diff {
            from: named("ordinary-day"),
            to: named("peak"),
        },
    ];
    let reports =
        commands.map(|command| stable(&run(&session, &command, OutputFormat::Text).unwrap()));
    insta::assert_snapshot!(reports.join("--\n"));
    let json = run(&session, &Command::History { last: 1 }, OutputFormat::Json).unwrap();
    insta::assert_snapshot!(stable(&json));
}

#[test]
fn errors_tell_who_and_what() {
    let unreachable = || PlatformError::Unreachable {
        endpoint: "10.0.0.1:2379".to_owned(),
        source: "connection refused".into(),
    };
    let errors = [
        CtlError::LostActivation {
            current: Some(Box::new(record())),
        },
        CtlError::LostActivation { current: None },
        CtlError::Platform {
            source: unreachable(),
        },
        CtlError::ActivationUnknown {
            operation: OperationId::from_random(10),
            version: PresetVersion::new(8),
            reason: unreachable().to_string(),
        },
        CtlError::UnknownPreset {
            preset: "storm".to_owned(),
        },
        CtlError::NoPlatform,
        CtlError::NoOperator,
        CtlError::NoNode,
    ];
    let lines = errors.map(|error| {
        let status = exit_status(error.code());
        format!("{} [exit {status}]", OutputFormat::Text.error(&error))
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn exit_statuses_are_distinct_and_leave_usage_errors_alone() {
    let codes = ResultCode::VARIANTS
        .iter()
        .filter(|code| code.number() >= 200);
    let mut statuses: Vec<_> = codes.map(|code| exit_status(*code)).collect();
    let all = statuses.len();
    statuses.sort_unstable();
    statuses.dedup();
    assert_eq!(statuses.len(), all);
    assert!(statuses.iter().all(|status| *status > 2));
}

#[test]
fn settings_come_from_flags() {
    let line = [
        "geranium-ctl",
        "--platform",
        "127.0.0.1:1,127.0.0.1:2",
        "put",
        "peak",
        "a/b.json",
    ];
    let invocation = Invocation::try_parse_from(line).unwrap();
    assert_eq!(invocation.platform.len(), 2);
    assert!(matches!(invocation.command, Command::Put { file, .. } if file.ends_with("a/b.json")));
    let bad = ["geranium-ctl", "--node", "no-address", "status"];
    assert!(Invocation::try_parse_from(bad).is_err());
    let node: SocketAddr = "127.0.0.1:7".parse().unwrap();
    let line = ["geranium-ctl", "status", "--node", "127.0.0.1:7"];
    assert_eq!(Invocation::try_parse_from(line).unwrap().node, [node]);
}
