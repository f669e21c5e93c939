//! Versions of members, and which of them get requests.

use std::time::Duration;

use geranium_node::{
    member::{EndpointVersion, FleetView, MemberRecord, PickQuery, VersionFilter},
    rollout::first_targets,
    store::Revision,
};
use rand::{SeedableRng, rngs::StdRng};

use super::version;
use crate::support::{self, at, born, peer_addr};

fn member(number: u8, name: &str, born_ms: u64) -> MemberRecord {
    MemberRecord {
        start: born(format!("i-{number}"), born_ms),
        version: Some(version(name)),
        ..support::record(number)
    }
}

/// Returns a fleet with four members of version `v1`, and `targets` of `v2` announced a second
/// later.
fn fleet(targets: u8) -> FleetView {
    let mut fleet = FleetView::new("hofdi");
    for number in 1..=4 {
        fleet.announce(at(0), member(number, "v1", 1_000), Revision(1));
    }
    for number in 11..11 + targets {
        fleet.announce(at(1_000), member(number, "v2", 9_000), Revision(2));
    }
    fleet
}

/// Guards against requests to a version whose announcement comes before its order.
#[test]
fn a_version_without_an_order_is_held_back_at_first() {
    let fleet = fleet(4);
    let unordered = |now| fleet.unordered_versions(now, "prices", None);
    assert_eq!(unordered(at(2_000)), [version("v2")]);
    // It came without a rollout, as in a replacement of one server after the other.
    assert_eq!(unordered(at(7_000)), []);
    let in_force = version("v2");
    let after_rollout = fleet.unordered_versions(at(2_000), "prices", Some(&in_force));
    assert_eq!(after_rollout, [version("v1")]);
}

/// Guards against holding back the only version of a service, or servers that report none.
#[test]
fn a_single_version_is_never_held_back() {
    let mut fleet = fleet(0);
    fleet.announce(at(500), support::record(9), Revision(3));
    assert_eq!(fleet.unordered_versions(at(600), "prices", None), []);
}

/// Guards against trials at different backend servers for each node.
#[test]
fn every_node_has_the_same_servers_on_trial() {
    let (first, second) = (fleet(8), {
        let mut other = FleetView::new("sundahofn");
        for number in (11..19).rev() {
            other.announce(at(0), member(number, "v2", 9_000), Revision(2));
        }
        other
    });
    let target = version("v2");
    let addrs = |fleet: &FleetView, position| {
        let keys = first_targets(fleet.ready_members("prices", &target), 0.06, position);
        let records = keys.iter().filter_map(|&key| fleet.get(key));
        records
            .map(|member| member.record.peer_addr)
            .collect::<Vec<_>>()
    };
    assert_eq!(addrs(&first, 0), addrs(&second, 0));
    assert_eq!(addrs(&first, 0).len(), 2);
    assert!(
        addrs(&first, 2)
            .iter()
            .all(|addr| !addrs(&first, 0).contains(addr))
    );
}

/// Guards against a request that goes to a version which may get none.
#[test]
fn filters_hold_for_every_pick() {
    let fleet = fleet(4);
    let (target, rng) = (version("v2"), &mut StdRng::seed_from_u64(1));
    let excluded = [target.clone()];
    let only: Vec<_> = fleet
        .ready_members("prices", &target)
        .map(|(key, _)| key)
        .collect();
    let without = VersionFilter {
        excluded: &excluded,
        only: None,
    };
    let among = VersionFilter {
        excluded: &[],
        only: Some(&only),
    };
    for (versions, expected) in [(without, "v1"), (among, "v2")] {
        let query = PickQuery {
            service: "prices",
            route_hash: 1,
            target_latency: Duration::from_millis(400),
            tried: &[],
            probed: &[],
            response_bytes: 0,
            versions,
        };
        for _ in 0..50 {
            for picked in [
                fleet.pick(at(2_000), &query, rng),
                fleet.pick_queue(at(2_000), &query, rng),
            ] {
                let picked = picked.and_then(|key| fleet.get(key));
                let picked = picked.and_then(|member| member.record.version.as_ref());
                assert_eq!(picked.map(EndpointVersion::as_str), Some(expected));
            }
        }
    }
}

/// Guards against requests to a backend server that its node holds back.
#[test]
fn suspended_members_get_no_requests() {
    let mut fleet = fleet(0);
    let suspended = MemberRecord {
        suspended: true,
        ..member(1, "v1", 1_000)
    };
    fleet.announce(at(100), suspended, Revision(5));
    let ready = fleet.ready_members("prices", &version("v1")).count();
    assert_eq!(ready, 3);
    assert!(fleet.key_of(peer_addr(1)).is_some());
}
