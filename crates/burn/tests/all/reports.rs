//! Tests of the report as text, JSON and picture, and of the help text.

use std::collections::BTreeSet;

use clap::CommandFactory;
use geranium_burn::{BurnReport, BurnTracker, Invocation, OutputFormat, burn_picture};
use serde_json::Value;

use crate::support::{MONTH, counts, missing, node, sample};

fn report() -> BurnReport {
    let mut tracker = BurnTracker::new(MONTH);
    let reading =
        |instance, started, good, bad, slow| node(instance, started, counts(good, bad, slow));
    tracker.add(sample(
        0,
        [
            reading("hofdi-1", 1, 100, 0, 0),
            reading("hofdi-2", 1, 50, 0, 0),
        ],
    ));
    tracker.add(sample(
        5,
        [
            reading("hofdi-1", 1, 300, 80, 10),
            reading("hofdi-2", 2, 40, 1, 0),
        ],
    ));
    let mut last = sample(10, [reading("hofdi-1", 1, 310, 160, 10)]);
    last.missing.push(missing("hofdi-2"));
    tracker.add(last);
    BurnReport::from(&tracker)
}

/// Adds the path and type of every field of `value` to `found`.
fn shape(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                shape(&format!("{path}.{name}"), field, found);
            }
        }
        Value::Array(entries) => {
            for entry in entries {
                shape(&format!("{path}[]"), entry, found);
            }
        }
        Value::Null => drop(found.insert(format!("{path}: null"))),
        Value::Bool(_) => drop(found.insert(format!("{path}: bool"))),
        Value::Number(_) => drop(found.insert(format!("{path}: number"))),
        Value::String(_) => drop(found.insert(format!("{path}: string"))),
    }
}

#[test]
fn the_text_report_matches_its_snapshot() {
    insta::assert_snapshot!(OutputFormat::Text.report(&report()));
}

#[test]
fn json_field_names_and_types_match_their_snapshot() {
    let text = OutputFormat::Json.report(&report());
    let mut found = BTreeSet::new();
    shape("", &serde_json::from_str(&text).unwrap(), &mut found);
    insta::assert_snapshot!(found.into_iter().collect::<Vec<_>>().join("\n"));
}

#[test]
fn the_help_text_matches_its_snapshot() {
    insta::assert_snapshot!(Invocation::command().render_long_help());
}

#[test]
fn the_picture_shows_services_with_traffic_and_says_partial() {
    let svg = burn_picture(&report()).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("verdskra") && svg.contains("PARTIAL"));
    assert!(
        !svg.contains("pantanir"),
        "a service without traffic is shown"
    );
    let nothing = BurnReport::from(&BurnTracker::new(MONTH));
    assert!(burn_picture(&nothing).unwrap().starts_with("<svg"));
}
