//! Bytes and platform calls stay within their limits.

use std::time::Duration;

use geranium_spread::{
    ControlEnvelope, ControlMessage, FleetAction, FleetCore, FleetSettings, SILENT_AFTER,
    example_row,
};

use crate::{fake_platform::preset, fleet::Fleet};

fn sent_bytes(fleet: &Fleet) -> u64 {
    fleet.total(|core: &FleetCore| core.counters().sent_bytes.iter().sum())
}

#[test]
fn idle_bytes_do_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for size in [10, 30, 90] {
        let mut fleet = Fleet::new(5);
        fleet.activate(&preset(20, 1));
        fleet.start("a1", size / 2);
        fleet.start("b1", size / 2);
        fleet.run(40.0);
        let before = sent_bytes(&fleet);
        fleet.run(60.0);
        rates.push((sent_bytes(&fleet) - before) / size as u64 / 60);
    }
    assert!(
        rates.iter().all(|rate| *rate < 400),
        "{rates:?} bytes a second and node"
    );
    assert!(
        rates[2] < rates[0] * 3 / 2,
        "{rates:?} bytes a second and node"
    );
}

/// The whole fleet restarts at one moment. Every node needs the version and its
/// content, and the platform answers few of them a second.
#[test]
fn herd_restart_stays_within_the_platform_budget() {
    let mut fleet = Fleet::new(6);
    fleet.activate(&preset(20, 1));
    for data_centre in ["a1", "a2", "b1"] {
        fleet.start_planned(data_centre, 40, 1_600);
    }
    fleet.run(30.0);
    fleet.assert_version(1);
    fleet.assert_members(120);
    // A fleet of 1,600 may make 800 calls a second: these are 120 of them.
    let share = 120 * 800 / 1_600;
    let most = fleet.platform.calls.values().max().unwrap();
    assert!(
        *most <= share * 3 / 2,
        "{most} calls in a second, share {share}"
    );
}

/// The platform returns after ten minutes. Its return must not bring a storm,
/// and a change that waited must be in force within seconds.
#[test]
fn platform_return_makes_no_storm() {
    let mut fleet = Fleet::new(7);
    fleet.activate(&preset(4, 1));
    fleet.start_planned("a1", 30, 1_600);
    fleet.run(30.0);
    fleet.platform.away = true;
    fleet.run(600.0);
    fleet.platform.calls.clear();
    fleet.platform.away = false;
    let version = fleet.activate(&preset(4, 2));
    fleet.run(9.0);
    fleet.assert_version(version);
    let most = fleet.platform.calls.values().max().unwrap();
    assert!(*most <= 6, "{most} calls in a second by 30 nodes");
    assert!(SILENT_AFTER.as_secs() > 9);
}

/// The platform is down for a minute. Watchers try again at growing gaps: asked
/// as fast as the budget allows, a platform that struggles wouldn't recover.
#[test]
fn platform_outage_is_asked_at_growing_gaps() {
    let mut fleet = Fleet::new(8);
    fleet.activate(&preset(4, 1));
    fleet.start("a1", 12);
    fleet.run(20.0);
    fleet.platform.away = true;
    fleet.platform.calls.clear();
    fleet.run(60.0);
    let calls: u64 = fleet.platform.calls.values().sum();
    assert!(
        calls < 150,
        "{calls} calls in a minute by 12 nodes, 2 of them watchers"
    );
}

/// A region is cut off, and every node checks members it can't reach. Whoever it
/// asks must not go on checking them for itself, or soon all check all.
#[test]
fn split_does_not_set_all_against_all() {
    let mut fleet = Fleet::new(9);
    fleet.activate(&preset(4, 1));
    for data_centre in ["a1", "a2", "b1", "b2"] {
        fleet.start(data_centre, 25);
    }
    fleet.run(20.0);
    fleet.cuts.push(("a".to_owned(), "b".to_owned()));
    fleet.run(60.0);
    let before = sent_bytes(&fleet);
    fleet.run(60.0);
    let rate = (sent_bytes(&fleet) - before) / 100 / 60;
    assert!(rate < 500, "{rate} bytes a second and node");
}

/// A faulty node asks for all rows five hundred times in a second. It gets them
/// once or so, and a newcomer that asks next is served all the same.
#[test]
fn greedy_peer_gets_its_share_only() {
    let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
    let mut out = Vec::new();
    let rows: Vec<_> = (2..1_502)
        .map(|index| example_row(&format!("a-{index}"), 1))
        .collect();
    let ask = |name: &str, message| {
        let peer = example_row(name, 1);
        let (from, from_addr) = (peer.instance, peer.control_addr);
        ControlEnvelope {
            from,
            from_addr,
            message,
        }
    };
    for part in rows.chunks(100) {
        let message = ControlMessage::Rows(part.to_vec());
        core.handle(Duration::ZERO, ask("a-2", message), &mut out);
    }
    let rows_sent = |core: &FleetCore| core.counters().sent_bytes.iter().sum::<u64>();
    let before = rows_sent(&core);
    for step in 0..500 {
        let message = ControlMessage::Buckets(vec![0; geranium_spread::BUCKETS]);
        core.handle(
            Duration::from_millis(2 * step),
            ask("a-3", message),
            &mut out,
        );
    }
    let greedy = rows_sent(&core) - before;
    assert!(greedy < 250_000, "{greedy} bytes");
    out.clear();
    let message = ControlMessage::Buckets(vec![0; geranium_spread::BUCKETS]);
    core.handle(Duration::from_secs(1), ask("a-4", message), &mut out);
    let rows = out.iter().map(|action| match action {
        FleetAction::Send {
            message: ControlMessage::Rows(rows),
            ..
        } => rows.len(),
        _ => 0,
    });
    assert_eq!(rows.sum::<usize>(), 1_501);
}
