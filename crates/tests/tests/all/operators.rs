//! The operators' client against a running fleet.

use std::{fs, process::Command};

use geranium_model::{ContentDigest, InForce, OperationId, PresetVersion, platform_keys};
use geranium_platform::{PlatformStore, Revision};
use geranium_rig::ProgramPaths;
use serde_json::{Value, json};

use crate::fleet::{Fleet, document, wait_until};

/// Runs the client with these arguments; returns what it printed as JSON.
fn ctl(fleet: &Fleet, arguments: &[&str]) -> Value {
    let client = ProgramPaths::find()
        .program("geranium-ctl")
        .expect("it is built");
    let mut command = Command::new(client);
    command
        .env_clear()
        .env("GERANIUM_PLATFORM", fleet.run.platform_address.to_string());
    command.env(
        "GERANIUM_NODES",
        fleet.pair("verdskra-1").addresses.admin.to_string(),
    );
    command
        .args(["--operator", "anna", "--output", "json"])
        .args(arguments);
    let output = command.output().expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {text}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn put(fleet: &Fleet, name: &str, queue: u16) {
    let file = fleet.run.work_dir().join(format!("{name}.json"));
    fs::write(&file, document(queue).canonical_bytes()).expect("a file");
    ctl(fleet, &["put", name, file.to_str().expect("a path")]);
}

/// An operator stores and activates a preset with the client, sees the whole
/// fleet follow it, and drains an instance by name.
#[test]
fn an_operator_steers_the_fleet_by_the_client() {
    let fleet = Fleet::small();
    put(&fleet, "peak", 16);
    let activated = ctl(&fleet, &["activate", "peak"]);
    let version = &activated["activated"]["version"];
    wait_until("the fleet to follow", || {
        let status = ctl(&fleet, &["status"]);
        status["version"] == *version && status["following"] == 4 && status["preset"] == "peak"
    });
    let nodes = ctl(&fleet, &["nodes"]);
    assert_eq!(nodes["nodes"].as_array().map(Vec::len), Some(4));
    ctl(&fleet, &["drain", "pantanir-2"]);
    wait_until("the drain to show", || {
        let nodes = ctl(&fleet, &["nodes"]);
        let rows = nodes["nodes"].as_array().cloned().unwrap_or_default();
        let drained = rows.iter().find(|row| row["instance"] == "pantanir-2");
        drained.is_some_and(|row| row["state"] != "live")
    });
    let history = ctl(&fleet, &["history"]);
    let newest = history["activations"]
        .as_array()
        .and_then(|rows| rows.last());
    assert_eq!(newest.map(|row| &row["operator"]), Some(&json!("anna")));
}

/// Somebody writes a preset to the platform past the client, with a route that
/// points nowhere. The nodes keep what they have, and an operator who asks for
/// the status sees which refused it, by what number.
#[test]
fn a_refused_preset_is_shown_to_operators() {
    let fleet = Fleet::small();
    let mut bad = document(16);
    bad.services.clear();
    let digest = ContentDigest::of(bad.canonical_bytes());
    let record = InForce {
        version: PresetVersion::new(2),
        preset: "bad".parse().expect("a name"),
        digest,
        operation: OperationId::from_random(1),
        operator: "somebody".to_owned(),
        written_at_ms: 0,
    };
    let key = platform_keys::content(digest);
    let stored = fleet
        .store
        .compare_and_swap(&key, Revision::NONE, &bad.canonical_bytes(), None);
    stored.expect("content stored");
    fleet.write(
        platform_keys::IN_FORCE,
        &serde_json::to_vec(&record).expect("a record"),
    );
    wait_until("a refusal to show", || {
        let status = ctl(&fleet, &["status"]);
        let refusing = status["refusing"].as_array().cloned().unwrap_or_default();
        let reasons = refusing.iter().filter_map(|node| node["reason"].as_str());
        status["following"] == 0 && reasons.clone().any(|reason| reason.contains("206"))
    });
}
