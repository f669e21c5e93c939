//! The preset in force, under faults of the platform and of nodes.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use geranium_model::{ContentDigest, InForce, OperationId, Outcome, PresetVersion, platform_keys};
use geranium_rig::{PairPart, ProcessSignal};
use serde_json::json;

use crate::{
    caller::Call,
    fleet::{Fleet, document, wait_until},
};

/// Watches every node's version until told to stop; a version that falls back
/// without a restart of its node is returned.
fn fell_back(fleet: &Fleet, stop: &AtomicBool) -> Option<String> {
    let mut highest: Vec<u64> = vec![0; fleet.run.pairs.len()];
    while !stop.load(Ordering::Relaxed) {
        for (index, pair) in fleet.run.pairs.iter().enumerate() {
            let Some(status) = pair.status() else {
                continue;
            };
            if status.version < highest[index] {
                return Some(format!(
                    "{} went from {} to {}",
                    pair.instance, highest[index], status.version
                ));
            }
            highest[index] = status.version;
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

/// The platform answers reads from a replica that is seconds behind, and its
/// watches are cut, so nodes read again. No node may step back to what the
/// replica still shows.
#[test]
fn stale_platform_reads_never_lower_a_version() {
    let mut fleet = Fleet::small();
    let version = fleet.activate(&document(10));
    fleet.wait_version(version);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let watching = scope.spawn(|| fell_back(&fleet, &stop));
        for _ in 0..5 {
            fleet.platform_faults(&json!({"stale_reads_ms": 60_000, "cut_watches": true}));
            thread::sleep(Duration::from_millis(400));
        }
        stop.store(true, Ordering::Relaxed);
        assert_eq!(watching.join().expect("the watch ends"), None);
    });
    fleet.platform_faults(&json!({}));
    fleet.wait_version(version);
}

/// Half the fleet's nodes are killed and come back while the platform is away.
/// They must take no traffic by an older version, and learn the newest from
/// their peers.
#[test]
fn nodes_restarted_during_an_outage_learn_the_version_from_peers() {
    let mut fleet = Fleet::small();
    let version = fleet.activate(&document(20));
    fleet.wait_version(version);
    fleet.platform_faults(&json!({"down": "drop", "cut_watches": true}));
    for instance in ["verdskra-1", "pantanir-2"] {
        fleet
            .pair_mut(instance)
            .signal(PairPart::Node, ProcessSignal::Kill);
        fleet.restart(instance, PairPart::Node);
    }
    let node = fleet.node("verdskra-1");
    wait_until("the restarted node's first answers", || {
        let answer = Call::get(node, "/verdskra/fish").send();
        match answer {
            Ok(answer) if answer.outcome == Outcome::Ran => {
                assert_eq!(answer.version, version, "it routed by an older version");
                true
            }
            Ok(_) | Err(_) => false,
        }
    });
    fleet.wait_version(version);
}

/// Somebody writes past the operators' client: content that is no preset, then
/// content whose route lacks its service, then a record that is no record. The
/// preset before stays in force everywhere, whole, and traffic goes on.
#[test]
fn bad_content_leaves_the_old_preset_in_force() {
    let fleet = Fleet::small();
    let bad_contents: [&[u8]; 2] = [
        b"{\"services\": [",
        br#"{"services":[],"routes":[{"name":"prices","path_prefix":"/verdskra/","service":"verdskra","class":"short","deadline_ms":5000}]}"#,
    ];
    for (index, content) in bad_contents.into_iter().enumerate() {
        let digest = ContentDigest::of(content);
        fleet.write(&platform_keys::content(digest), content);
        let record = InForce {
            version: PresetVersion::new(2 + index as u64),
            preset: "broken".parse().expect("a name"),
            digest,
            operation: OperationId::from_random(rand::random()),
            operator: "test".to_owned(),
            written_at_ms: 0,
        };
        fleet.write(
            platform_keys::IN_FORCE,
            &serde_json::to_vec(&record).expect("a record"),
        );
        let noticed = |version: u64| {
            fleet.run.pairs.iter().any(|pair| {
                let url = format!("http://{}/status", pair.addresses.admin);
                let status = attohttpc::get(url)
                    .send()
                    .and_then(attohttpc::Response::json);
                let status: serde_json::Value = status.unwrap_or_default();
                let refused = status["refused"].as_str().unwrap_or_default().to_owned();
                refused.contains(&format!("version {version}"))
            })
        };
        wait_until("a node to refuse it", || noticed(2 + index as u64));
        assert!(
            fleet.versions().iter().all(|version| *version == 1),
            "{:?}",
            fleet.versions()
        );
    }
    fleet.write(platform_keys::IN_FORCE, b"not a record");
    thread::sleep(Duration::from_millis(500));
    assert!(
        fleet.versions().iter().all(|version| *version == 1),
        "{:?}",
        fleet.versions()
    );
    let answer = Call::get(fleet.node("verdskra-1"), "/verdskra/fish")
        .send()
        .expect("an answer");
    assert_eq!((answer.outcome, answer.version), (Outcome::Ran, 1));
}

/// Every watcher of a data centre is killed between two activations. The
/// others take over, and the change is in force on all that live.
#[test]
fn a_change_arrives_although_watchers_were_killed() {
    let mut fleet = Fleet::small();
    let watchers: Vec<String> = fleet
        .run
        .pairs
        .iter()
        .filter(|pair| pair.status().is_some_and(|status| status.is_watcher))
        .map(|pair| pair.instance.clone())
        .collect();
    assert!(!watchers.is_empty(), "some node watches the platform");
    let killed = watchers[0].clone();
    fleet
        .pair_mut(&killed)
        .signal(PairPart::Node, ProcessSignal::Kill);
    let version = fleet.activate(&document(30));
    wait_until("the change on all that live", || {
        let versions = fleet.versions();
        versions.len() == 3 && versions.iter().all(|found| *found == version)
    });
    fleet.restart(&killed, PairPart::Node);
    fleet.wait_version(version);
}

/// The whole fleet's nodes restart at once and the platform serves reads from
/// the past. Nobody may come up with the older version and stay there.
#[test]
fn a_herd_restart_ends_at_the_newest_version() {
    let mut fleet = Fleet::small();
    let version = fleet.activate(&document(40));
    fleet.wait_version(version);
    for instance in ["verdskra-1", "verdskra-2", "pantanir-1", "pantanir-2"] {
        fleet
            .pair_mut(instance)
            .signal(PairPart::Node, ProcessSignal::Kill);
        fleet.restart(instance, PairPart::Node);
    }
    fleet.wait_version(version);
}

/// The platform loses the answer of an activation after it took effect, then
/// goes away for a while. The change is in force everywhere once it is back.
#[test]
fn a_change_written_before_an_outage_arrives_after_it() {
    let mut fleet = Fleet::small();
    fleet.platform_faults(&json!({"slow_ms": 300}));
    let version = fleet.activate(&document(50));
    fleet.platform_faults(&json!({"down": "drop", "cut_watches": true}));
    thread::sleep(Duration::from_secs(1));
    fleet.platform_faults(&json!({}));
    fleet.wait_version(version);
}
