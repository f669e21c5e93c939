//! The page of settings fits the programs' own definitions.

use std::{fmt::Write as _, fs, path::Path};

use clap::{Arg, Command, CommandFactory};
use geranium_ctl::Invocation;
use geranium_load::LoadOptions;
use geranium_node::settings::RawSettings;
use geranium_rig::RigOptions;

/// Set to write the page instead of comparing it.
const UPDATE_VARIABLE: &str = "GERANIUM_UPDATE";

fn flag(arg: &Arg) -> Option<String> {
    if arg.is_hide_set() || matches!(arg.get_id().as_str(), "help" | "version") {
        return None;
    }
    let name = arg.get_long().map_or_else(
        || arg.get_id().as_str().to_uppercase(),
        |long| format!("--{long}"),
    );
    let variable = arg
        .get_env()
        .map(|name| format!("`{}`", name.to_string_lossy()));
    let defaults: Vec<String> = arg
        .get_default_values()
        .iter()
        .map(|value| format!("`{}`", value.display()))
        .collect();
    let help = arg.get_help().map(ToString::to_string).unwrap_or_default();
    Some(format!(
        "| `{name}` | {} | {} | {} |\n",
        variable.unwrap_or_default(),
        defaults.join(", "),
        help.replace('\n', " ")
    ))
}

fn describe(page: &mut String, command: &Command, path: &str) {
    let rows: String = command.get_arguments().filter_map(flag).collect();
    let about = command
        .get_about()
        .map(ToString::to_string)
        .unwrap_or_default();
    let _ = write!(page, "\n## {path}\n\n{about}.\n");
    if !rows.is_empty() {
        let _ = write!(page, "\n| flag | environment | default | meaning |\n");
        let _ = write!(page, "| --- | --- | --- | --- |\n{rows}");
    }
    for sub in command
        .get_subcommands()
        .filter(|sub| sub.get_name() != "help")
    {
        describe(page, sub, &format!("{path} {}", sub.get_name()));
    }
}

/// Somebody adds a setting and forgets the page, or changes a default: the page
/// that operators read must not lag behind the programs.
#[test]
fn the_page_fits_the_programs() {
    let mut page = String::from(
        "# Settings\n\nMade from the programs' own definitions; a test compares this page. A flag \
         goes before its environment variable.\n",
    );
    let commands = [
        RawSettings::command(),
        Invocation::command(),
        LoadOptions::command(),
        RigOptions::command(),
    ];
    for command in commands {
        let name = command.get_name().to_owned();
        describe(&mut page, &command, &name);
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, &page).expect("the page can be written");
    }
    let found = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        found == page,
        "docs/SETTINGS.md is old: run this test with {UPDATE_VARIABLE}=1"
    );
}
