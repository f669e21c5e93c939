//! Versions only rise, come whole or not at all, and reach everyone.

use geranium_model::{ContentDigest, ResultCode};
use geranium_spread::FleetCore;

use crate::{
    fake_platform::{in_force, preset},
    fleet::Fleet,
};

/// Three data centres of five nodes, all at version 1.
fn running_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    fleet.activate(&preset(6, 1));
    for data_centre in ["a", "b", "c"] {
        fleet.start(data_centre, 5);
    }
    fleet.run(12.0);
    fleet.assert_version(1);
    fleet.assert_members(15);
    fleet
}

#[test]
fn change_reaches_everyone() {
    let mut fleet = running_fleet(1);
    let version = fleet.activate(&preset(6, 2));
    fleet.run(1.5);
    fleet.assert_version(version);
    let missed = fleet.total(|core| core.counters().missed_deltas);
    assert_eq!(missed, 0);
}

/// A till sees yesterday's prices again: the platform's replica that answers
/// now lags behind, and returns version 1 after version 3 was in force. Nodes
/// poll it and watch it for two minutes.
#[test]
fn stale_platform_read_lowers_nobody() {
    let mut fleet = running_fleet(2);
    let old = fleet.platform.in_force.clone();
    fleet.activate(&preset(6, 2));
    fleet.activate(&preset(6, 3));
    fleet.run(2.0);
    fleet.assert_version(3);
    fleet.platform.stale = old;
    fleet.platform.revision += 1;
    fleet.run(120.0);
    fleet.assert_version(3);
    let refused = fleet.total(|core| core.counters().stale_versions);
    assert!(refused > 0, "the stale record was read");
}

/// Twelve changes come within four seconds, while messages take up to 0.8 s,
/// overtake each other, and a quarter is lost or doubled. Nobody may move back,
/// and all must end at the last.
#[test]
fn crossed_updates_end_at_the_highest() {
    for seed in 0..5 {
        let mut fleet = running_fleet(seed);
        (fleet.loss, fleet.doubling, fleet.delay_ms) = (0.25, 0.25, 800);
        for edition in 2..14 {
            fleet.activate(&preset(6, edition));
            fleet.run(0.35);
        }
        fleet.run(12.0);
        fleet.assert_version(13);
    }
}

/// Somebody writes a preset straight to the platform, past the client: a route
/// points at a service that it lacks. The write moves the in-force record, and
/// the next good one follows at once.
#[test]
fn bad_content_never_comes_into_force() {
    let mut fleet = running_fleet(3);
    let text = br#"{"services": [], "routes": [{"name": "r", "path_prefix": "/",
        "service": "none", "class": "short", "deadline_ms": 1}]}"#;
    let digest = ContentDigest::of(text);
    fleet.platform.contents.insert(digest, text.to_vec());
    fleet.activate_digest(digest);
    fleet.run(40.0);
    fleet.assert_version(1);
    let codes: Vec<_> = fleet.refused.iter().map(|(_, _, code)| *code).collect();
    assert!(
        codes.contains(&ResultCode::PresetMissingService),
        "{codes:?}"
    );
    fleet.activate_digest(digest);
    let version = fleet.activate(&preset(6, 2));
    fleet.run(3.0);
    fleet.assert_version(version);
}

/// The content under a digest was garbled, or written by hand: its bytes have
/// another digest. It is a well-formed preset all the same, and a node that
/// took it would route by something that no operator chose.
#[test]
fn content_under_another_digest_is_refused() {
    let mut fleet = running_fleet(4);
    let (right, wrong) = (preset(6, 2), preset(6, 3));
    let bytes = wrong.document().canonical_bytes();
    fleet.platform.contents.insert(right.digest(), bytes);
    fleet.activate_digest(right.digest());
    fleet.run(10.0);
    fleet.assert_version(1);
    let codes: Vec<_> = fleet.refused.iter().map(|(_, _, code)| *code).collect();
    assert!(
        codes.contains(&ResultCode::PresetDigestMismatch),
        "{codes:?}"
    );
}

/// A watcher's read of the new content is garbled on its way, once; the other
/// watchers read it well. The watcher reports it, keeps the old preset, and must
/// take the version from its peers all the same.
#[test]
fn garbled_read_does_not_hold_a_node_back() {
    let mut fleet = running_fleet(10);
    fleet.platform.garbled_reads = 1;
    let version = fleet.activate(&preset(6, 2));
    fleet.run(3.0);
    assert_eq!(fleet.refused.len(), 1, "{:?}", fleet.refused);
    fleet.assert_version(version);
}

/// Every read is garbled for half a minute. The version must come in force all
/// the same once reads are well again, without an operator's help.
#[test]
fn garbled_reads_by_all_are_tried_again() {
    let mut fleet = running_fleet(11);
    fleet.platform.garbled_reads = u32::MAX;
    let version = fleet.activate(&preset(6, 2));
    fleet.run(30.0);
    fleet.assert_version(1);
    fleet.platform.garbled_reads = 0;
    fleet.run(75.0);
    fleet.assert_version(version);
}

/// The in-force record itself is garbled, and its content missing next. Both
/// are reported, nobody changes, and a later good version passes.
#[test]
fn unreadable_record_and_missing_content_are_reported() {
    let mut fleet = running_fleet(5);
    fleet.platform.malformed = true;
    fleet.platform.revision += 1;
    fleet.run(3.0);
    fleet.platform.malformed = false;
    fleet.activate_digest(ContentDigest::of(b"never written"));
    fleet.run(3.0);
    fleet.assert_version(1);
    let codes: Vec<_> = fleet.refused.iter().map(|(_, _, code)| *code).collect();
    assert!(codes.contains(&ResultCode::InForceMalformed), "{codes:?}");
    assert!(codes.contains(&ResultCode::PresetUnknown), "{codes:?}");
    let version = fleet.activate(&preset(6, 2));
    fleet.run(3.0);
    fleet.assert_version(version);
}

/// The platform was restored from a backup and an operator activated again: the
/// same version number now names another preset. Nodes keep what they have and
/// say so, until a higher version ends it.
#[test]
fn same_version_with_other_content_is_refused() {
    let mut fleet = running_fleet(6);
    fleet.activate(&preset(6, 2));
    fleet.run(2.0);
    let other = preset(6, 3);
    let bytes = other.document().canonical_bytes();
    fleet.platform.contents.insert(other.digest(), bytes);
    fleet.platform.in_force = Some(in_force(2, other.digest()));
    fleet.platform.revision += 1;
    fleet.run(5.0);
    for core in fleet.cores.values() {
        assert_ne!(core.in_force().unwrap().1.digest(), other.digest());
    }
    let splits = fleet.total(|core| core.counters().split_versions);
    assert!(splits > 0);
    fleet.activate(&preset(6, 4));
    fleet.run(2.0);
    fleet.assert_version(3);
}

/// A preset of 2,500 services is far larger than a message. It comes in chunks,
/// of which a fifth is lost, and must be whole everywhere or not there at all.
#[test]
fn large_document_comes_whole_over_lossy_links() {
    let mut fleet = running_fleet(7);
    fleet.loss = 0.2;
    let version = fleet.activate(&preset(2_500, 1));
    fleet.run(40.0);
    fleet.assert_version(version);
}

/// Every watcher of every data centre dies at the same moment, just before an
/// operator activates a preset. The next in rank take over when membership
/// shows it, without an election.
#[test]
fn killed_watchers_are_replaced() {
    let mut fleet = running_fleet(8);
    let watchers = fleet.cores.iter().filter(|(_, core)| core.is_watcher());
    let watchers: Vec<_> = watchers.map(|(name, _)| name.clone()).collect();
    assert_eq!(watchers.len(), 6, "two in each data centre: {watchers:?}");
    for name in &watchers {
        fleet.cores.remove(name);
        fleet.versions.remove(name);
    }
    fleet.run(8.0);
    let calls = fleet.total(|core| core.counters().platform_calls);
    let version = fleet.activate(&preset(6, 2));
    fleet.run(1.0);
    fleet.assert_version(version);
    let polls = fleet.total(|core| core.counters().platform_calls) - calls;
    assert!(
        polls < 9,
        "{polls}: it came by watches and links, not by polls"
    );
    let watching = fleet.cores.values().filter(|core| core.is_watcher());
    assert_eq!(watching.count(), 6);
}

/// A region is cut off from the other and from the platform while an operator
/// activates twice. On the mend the higher version must come across, and no
/// older one back.
#[test]
fn healed_partition_moves_nobody_back() {
    let mut fleet = running_fleet(9);
    fleet.cuts.push(("a".to_owned(), "b".to_owned()));
    fleet.cuts.push(("a".to_owned(), "c".to_owned()));
    // The platform stands with the near side: the far side's calls fail.
    fleet.platform_cut.insert("a".to_owned());
    fleet.activate(&preset(6, 2));
    fleet.run(30.0);
    fleet.activate(&preset(6, 3));
    fleet.run(3.0);
    let held = fleet.in_force();
    assert_eq!((held["a-0"], held["b-0"]), (Some(1), Some(3)));
    fleet.cuts.clear();
    fleet.run(12.0);
    fleet.assert_version(3);
    fleet.assert_members(15);
    let refuted = fleet.total(|core: &FleetCore| core.counters().refuted);
    assert_eq!(refuted, 0, "nobody was declared failed by the other side");
}
