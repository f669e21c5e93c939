//! Texts for operators: help, reports and errors.

use std::path::Path;

use clap::{CommandFactory, Parser};
use geranium_ctl::{
    Command, CtlError, Invocation, OutputFormat, RetrySchedule, Session, exit_status, run,
};
use geranium_node::{config::ConfigVersion, result_code::ResultCode, store::StoreError};
use strum::VariantArray;

use crate::support::{MemoryStore, codec, name, store_with_presets, wait};

fn session() -> Session<MemoryStore> {
    Session {
        store: Some(store_with_presets()),
        codec: codec(),
        operator: Some("anna".to_owned()),
        nodes: Vec::new(),
        status_port: 9464,
        retry_schedule: RetrySchedule::without_pause(1),
    }
}

/// Replaces identifiers of writes and times, which differ between runs.
fn redact(text: &str) -> String {
    let words = text.split_inclusive([' ', '\n', ',', '"']).map(|word| {
        let bare = word.trim_end_matches([' ', '\n', ',', '"', ')']);
        let is_hex = bare.len() == 32 && bare.chars().all(|c| c.is_ascii_hexdigit());
        let is_time = bare.ends_with('Z') && bare.contains('T') && bare.len() == 20;
        let is_number = bare.len() == 13 && bare.chars().all(|c| c.is_ascii_digit());
        match (is_hex, is_time || is_number) {
            (true, _) => word.replace(bare, "OPERATION"),
            (_, true) => word.replace(bare, "TIME"),
            _ => word.to_owned(),
        }
    });
    words.collect()
}

#[test]
fn help_names_every_command_and_setting() {
    insta::assert_snapshot!(Invocation::command().render_long_help());
}

#[test]
fn reports_are_readable() {
    let session = session();
    let commands = [
        Command::List,
        Command::Activate {
            name: name("peak"),
            expect_version: None,
        },
        Command::History { last: 20 },
        Command::Show { name: name("peak") },
        Command::Diff {
            from: "ordinary-day".parse().unwrap(),
            to: "peak".parse().unwrap(),
        },
    ];
    let reports =
        commands.map(|command| redact(&wait(run(&session, &command, OutputFormat::Text)).unwrap()));
    insta::assert_snapshot!(reports.join("--\n"));
    let last = Command::History { last: 1 };
    let json = wait(run(&session, &last, OutputFormat::Json)).unwrap();
    insta::assert_snapshot!(redact(&json));
}

#[test]
fn errors_name_their_code_and_cause() {
    let lost = || StoreError::NoAnswer {
        reason: "connection refused".to_owned(),
    };
    let errors = [
        CtlError::NotActivated {
            in_force: ConfigVersion(8),
            last: None,
        },
        CtlError::Store { source: lost() },
        CtlError::WriteUnknown {
            write_id: "0a".to_owned(),
            source: lost(),
        },
        CtlError::UnknownPreset {
            preset: name("storm"),
        },
        CtlError::NoStore,
        CtlError::NoOperator,
    ];
    let lines = errors.map(|error| {
        let status = exit_status(error.code());
        format!("{} [exit {status}]", OutputFormat::Text.error(&error))
    });
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn exit_statuses_are_distinct_and_leave_usage_errors_alone() {
    let codes = ResultCode::VARIANTS.iter();
    let codes = codes.filter(|code| code.number() >= 200);
    let mut statuses: Vec<_> = codes.map(|code| exit_status(*code)).collect();
    let all = statuses.len();
    statuses.sort_unstable();
    statuses.dedup();
    assert_eq!(statuses.len(), all);
    assert!(statuses.iter().all(|status| *status > 2));
}

#[test]
fn settings_come_from_flags() {
    let line = "geranium-ctl --store 127.0.0.1:1 put peak a/b.json";
    let invocation = Invocation::try_parse_from(line.split(' ')).unwrap();
    assert_eq!(invocation.store, Some("127.0.0.1:1".parse().unwrap()));
    let file = Path::new("a/b.json");
    assert!(matches!(invocation.command, Command::Put { file: found, .. } if found == file));
    let bad = "geranium-ctl --store no-address status";
    assert!(Invocation::try_parse_from(bad.split(' ')).is_err());
}
