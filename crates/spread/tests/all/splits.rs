//! Regions apart, and data centres lost.

use geranium_model::MemberState;

use crate::{fake_platform::preset, fleet::Fleet};

fn running_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    fleet.activate(&preset(3, 1));
    for data_centre in ["a1", "a2", "b1", "b2"] {
        fleet.start(data_centre, 8);
    }
    fleet.run(12.0);
    fleet.assert_members(32);
    fleet
}

/// Two regions lose each other for ten minutes. Neither may take the other for
/// dead: its rows stay, out of reach, and the mend costs no flood of rows.
#[test]
fn region_split_keeps_rows_and_heals_without_a_flood() {
    let mut fleet = running_fleet(1);
    fleet.cuts.push(("a".to_owned(), "b".to_owned()));
    fleet.run(600.0);
    fleet.assert_members(32);
    let far = "b1-0".parse().unwrap();
    assert!(!fleet.cores["a1-0"].reachable(&far));
    assert!(fleet.cores["b2-7"].reachable(&far));
    let bytes = |fleet: &Fleet| fleet.total(|core| core.counters().sent_bytes.iter().sum());
    let before = bytes(&fleet);
    fleet.cuts.clear();
    fleet.run(30.0);
    let per_node = (bytes(&fleet) - before) / 32 / 30;
    assert!(per_node < 1_000, "{per_node} bytes a second and node");
    for core in fleet.cores.values() {
        assert!(core.members().all(|row| core.reachable(&row.instance)));
        assert_eq!(core.counters().refuted, 0);
    }
}

/// Nodes come and go on both sides of a split. When it ends each side must
/// learn the other's changes.
#[test]
fn changes_on_both_sides_of_a_split_are_mended() {
    let mut fleet = running_fleet(2);
    fleet.cuts.push(("a".to_owned(), "b".to_owned()));
    fleet.run(60.0);
    for name in ["a1-0", "b1-0", "b1-1"] {
        fleet.cores.remove(name);
        fleet.versions.remove(name);
    }
    fleet.run(30.0);
    fleet.cuts.clear();
    fleet.run(30.0);
    fleet.assert_members(29);
}

/// A data centre is lost. The others go on: changes reach everyone left, and
/// its members get no work, but nobody declares them dead one by one.
#[test]
fn lost_data_centre_leaves_the_rest_whole() {
    let mut fleet = running_fleet(3);
    fleet.cores.retain(|name, _| !name.starts_with("a1"));
    fleet.versions.retain(|name, _| !name.starts_with("a1"));
    fleet.run(40.0);
    let lost = "a1-3".parse().unwrap();
    for core in fleet.cores.values() {
        assert!(!core.reachable(&lost));
    }
    let version = fleet.activate(&preset(3, 2));
    fleet.run(2.0);
    fleet.assert_version(version);
}

/// The same, for good: after hours its rows are given up.
#[test]
fn lost_data_centre_is_given_up_after_hours() {
    let mut fleet = Fleet::new(4);
    fleet.start("a1", 3);
    fleet.start("b1", 3);
    fleet.run(12.0);
    fleet.assert_members(6);
    fleet.cores.retain(|name, _| !name.starts_with("b1"));
    fleet.run(2.0 * 3_600.0 + 120.0);
    fleet.assert_members(3);
}

/// One node loses its network for half a minute. It hears nobody, which is its
/// own failure: it must not declare the others dead, nor make them refute that
/// when it returns.
#[test]
fn cut_off_node_blames_nobody() {
    for seed in 105..=109 {
        let mut fleet = running_fleet(seed);
        fleet.cuts.push(("a1-0".to_owned(), String::new()));
        fleet.run(30.0);
        assert_eq!(fleet.cores["a1-0"].counters().suspected, 0);
        fleet.cuts.clear();
        fleet.run(20.0);
        fleet.assert_members(32);
        let refuted = fleet
            .cores
            .iter()
            .filter(|(_, core)| core.counters().refuted > 0);
        let refuted: Vec<_> = refuted.map(|(name, _)| name.as_str()).collect();
        assert_eq!(refuted, ["a1-0"], "it was given up, and nobody else");
    }
}

/// The path between two neighbours breaks, and both go on well otherwise.
/// Others reach both, so neither may be taken out of service.
#[test]
fn broken_path_between_two_makes_no_suspicion() {
    let mut fleet = running_fleet(6);
    let neighbour = |fleet: &Fleet, name: &str| {
        let links = fleet.cores[name].links();
        let link = links.iter().find(|link| link.as_str().starts_with("a1"));
        link.unwrap().to_string()
    };
    let other = neighbour(&fleet, "a1-2");
    fleet.cuts.push(("a1-2".to_owned(), other.clone()));
    fleet.run(60.0);
    assert_eq!(fleet.total(|core| core.counters().suspected), 0);
    fleet.assert_members(32);
    assert!(!fleet.cores["a1-2"].reachable(&other.parse().unwrap()));
}

/// A switch inside a data centre dies and half of its members fall silent at
/// once. They are suspected and get no work, but their rows are kept, and when
/// the switch is back they return within seconds.
#[test]
fn half_a_data_centre_silent_is_held() {
    let mut fleet = running_fleet(7);
    fleet
        .frozen
        .extend((0..4).map(|index| format!("a1-{index}")));
    fleet.run(90.0);
    for index in 0..4 {
        fleet.assert_state(&format!("a1-{index}"), Some(MemberState::Suspect));
    }
    fleet.frozen.clear();
    fleet.run(12.0);
    fleet.assert_members(32);
}
