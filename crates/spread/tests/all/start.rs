//! What a node that comes up empty does.

use std::time::Duration;

use geranium_model::PresetVersion;
use geranium_spread::{FleetSettings, StartGate};

use crate::{fake_platform::preset, fleet::Fleet};

/// One node restarts while the platform is away. It must come up with the
/// version it had, or none, and its peers have it.
#[test]
fn restart_during_an_outage_takes_the_peers_highest() {
    let mut fleet = Fleet::new(1);
    fleet.activate(&preset(4, 1));
    fleet.start("a", 6);
    fleet.run(12.0);
    fleet.activate(&preset(4, 2));
    fleet.run(2.0);
    fleet.platform.away = true;
    fleet.start_one("a-3");
    fleet.run(1.0);
    assert_eq!(
        fleet.in_force()["a-3"],
        None,
        "one peer's word isn't enough"
    );
    fleet.run(9.0);
    fleet.assert_version(2);
}

/// A node restarts, and the platform's replica that it asks lags by a version.
/// Taking that answer would move the instance back to what it had left.
#[test]
fn restart_with_a_stale_platform_read_moves_nobody_back() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(seed);
        fleet.activate(&preset(4, 1));
        fleet.start("a", 6);
        fleet.run(12.0);
        let old = fleet.platform.in_force.clone();
        fleet.activate(&preset(4, 2));
        fleet.run(2.0);
        fleet.assert_version(2);
        fleet.platform.stale = old;
        fleet.start_one("a-3");
        fleet.run(8.0);
        fleet.assert_version(2);
    }
}

/// The same, and the network of the restarting instance comes up a second after
/// its process: the stale answer is all that it has at first.
#[test]
fn stale_platform_read_before_any_peer_is_heard_waits() {
    let mut fleet = Fleet::new(5);
    fleet.activate(&preset(4, 1));
    fleet.start("a", 6);
    fleet.run(12.0);
    let old = fleet.platform.in_force.clone();
    fleet.activate(&preset(4, 2));
    fleet.run(2.0);
    fleet.platform.stale = old;
    fleet.start_one("a-3");
    fleet.cuts.push(("a-3".to_owned(), String::new()));
    fleet.run(1.0);
    fleet.cuts.clear();
    fleet.run(8.0);
    fleet.assert_version(2);
}

/// The whole fleet restarts while the platform is away: nobody knows a version,
/// and inventing one would be worse than waiting. When the platform returns,
/// all come up.
#[test]
fn herd_restart_during_an_outage_waits_for_the_platform() {
    let mut fleet = Fleet::new(2);
    fleet.activate(&preset(4, 1));
    fleet.platform.away = true;
    fleet.start("a", 5);
    fleet.start("b", 5);
    fleet.run(60.0);
    assert!(fleet.in_force().values().all(Option::is_none));
    fleet.platform.away = false;
    fleet.run(9.0);
    fleet.assert_version(1);
}

/// A node alone asks the platform only: with it, it starts; without, it waits.
#[test]
fn lone_node_needs_the_platform() {
    let mut fleet = Fleet::new(3);
    fleet.activate(&preset(4, 1));
    fleet.platform.away = true;
    fleet.start("a", 1);
    fleet.run(60.0);
    assert_eq!(fleet.in_force()["a-0"], None);
    fleet.platform.away = false;
    fleet.run(8.0);
    fleet.assert_version(1);
}

/// Nobody has a seed in its settings and the platform has none either: eight
/// nodes start alone, and must become one fleet through the seeds key.
#[test]
fn nodes_without_seeds_find_each_other_by_the_platform() {
    let mut fleet = Fleet::new(4);
    fleet.activate(&preset(4, 1));
    let data_centres = ["a", "b"].map(|name| name.parse().unwrap());
    for name in ["a-0", "a-1", "a-2", "a-3", "b-0", "b-1", "b-2", "b-3"] {
        let settings = FleetSettings {
            data_centres: data_centres.to_vec(),
            ..FleetSettings::default()
        };
        fleet.start_with(name, settings, 1);
    }
    fleet.run(150.0);
    fleet.assert_members(8);
    fleet.assert_version(1);
    assert!(fleet.platform.seeds.len() == 2);
}

#[test]
fn gate_counts_peers_only_once_they_settled() {
    let second = Duration::from_secs;
    let mut gate = StartGate::new(Duration::ZERO);
    gate.platform_failed();
    let version = |raw| Some(PresetVersion::new(raw));
    for (peer, raw) in [("a-1", 4), ("a-2", 5)] {
        gate.peer_vote(second(1), &peer.parse().unwrap(), version(raw));
    }
    assert!(!gate.is_open(second(9), 5), "two of five");
    assert!(gate.is_open(second(9), 2), "both there are");
    gate.peer_vote(second(2), &"a-3".parse().unwrap(), version(4));
    assert!(!gate.is_open(second(2), 5), "others may still come");
    assert!(gate.is_open(second(3), 5));
    assert_eq!(gate.highest(), PresetVersion::new(5));
    let mut gate = StartGate::new(Duration::ZERO);
    gate.platform_vote(second(1), PresetVersion::new(4));
    assert!(!gate.is_open(second(2), 0), "a peer may know better");
    assert!(gate.is_open(second(3), 0));
}
