//! Checks of preset documents, and differences between them.

use std::{fmt::Write, fs, path::Path};

use geranium_ctl::{OutputFormat, PresetDiff, PresetDocument, exit_status};

use crate::support::document;

/// Mistakes that operators make in documents: a name, and the text that is replaced.
///
/// The document `cut-short` ends before the text instead.
const BAD: [(&str, &str, &str); 6] = [
    ("cut-short", "\"rank\":2", ""),
    ("unknown-field", "\"rank\":2", "\"rang\":2"),
    ("bare-prefix", "\"/verdskra/\"", "\"/verdskra\""),
    (
        "unknown-service",
        "\"service\":\"verdskra\"",
        "\"service\":\"verdskrá\"",
    ),
    ("no-weight", "\"weight\":1", "\"weight\":0"),
    ("no-attempts", "\"attempts\":2", "\"attempts\":0"),
];

/// Guards against an error that doesn't name the code, the place or the reason.
#[test]
fn bad_documents_are_reported_with_code_and_place() {
    let good = serde_json::to_string(&document(1.0)).unwrap();
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let mut messages = String::new();
    for (name, from, to) in BAD {
        let text = match name {
            "cut-short" => good[..good.find(from).unwrap()].to_owned(),
            _ => good.replace(from, to),
        };
        assert_ne!(text, good);
        let path = directory.join(format!("{name}.json"));
        fs::write(&path, text).unwrap();
        let error = PresetDocument::from_file(&path).unwrap_err();
        let message = OutputFormat::Text.error(&error);
        let message = message.replace(&format!("{}/", directory.display()), "");
        writeln!(messages, "{message} [exit {}]", exit_status(error.code())).unwrap();
    }
    insta::assert_snapshot!(messages);
}

#[test]
fn differences_name_entry_and_field() {
    let (from, mut to) = (document(1.0), document(2.0));
    to.services[0].connections = 90;
    to.limits.idle_s = 20.0;
    insta::assert_snapshot!(PresetDiff::between(&from, &to), @r"
    ~ service verdskra
        connections: 130 -> 90
    ~ route prices
        timeout_s: 1.0 -> 2.0
    ~ limits
        idle_s: 15.0 -> 20.0
    ");
    assert!(PresetDiff::between(&from, &from).changes.is_empty());
}
