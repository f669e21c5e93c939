//! Who is there: announcing, leaving, failing, thawing, returning.

use std::time::Duration;

use geranium_model::{CrashRow, Incarnation, MemberState};
use geranium_spread::{
    ControlEnvelope, ControlMessage, FleetAction, FleetCore, FleetSettings, example_row,
};

use crate::{fake_platform::preset, fleet::Fleet};

fn running_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    fleet.activate(&preset(3, 1));
    for data_centre in ["a1", "a2", "b1"] {
        fleet.start(data_centre, 6);
    }
    fleet.run(12.0);
    fleet.assert_members(18);
    fleet
}

fn set_state(fleet: &mut Fleet, name: &str, state: MemberState) {
    let service = "verdskra".parse().ok();
    fleet.act(name, |core, now, out| {
        core.set_state(now, state, service, 12, out);
    });
}

/// An operator drains a backend server while the platform is away and a third
/// of the messages is lost. New work for it must stop everywhere within a few
/// seconds all the same.
#[test]
fn drain_is_known_everywhere_with_the_platform_away() {
    for seed in 0..5 {
        let mut fleet = running_fleet(seed);
        fleet.platform.away = true;
        fleet.loss = 0.33;
        fleet.cuts.push(("a1-0".to_owned(), "a1-1".to_owned()));
        fleet.cuts.push(("a1-0".to_owned(), "a1-2".to_owned()));
        fleet.cuts.push(("a1-0".to_owned(), "b1".to_owned()));
        set_state(&mut fleet, "a1-0", MemberState::Draining);
        fleet.run(5.0);
        fleet.assert_state("a1-0", Some(MemberState::Draining));
    }
}

/// Without loss a drain is pushed along the links at once, not at a tick.
#[test]
fn drain_is_pushed_at_once() {
    let mut fleet = running_fleet(7);
    set_state(&mut fleet, "b1-2", MemberState::Draining);
    fleet.run(0.1);
    fleet.assert_state("b1-2", Some(MemberState::Draining));
}

/// An instance loses power. Neighbours stop sending to it within seconds, and
/// it is gone for good some ten seconds later.
#[test]
fn failed_member_is_suspected_then_gone() {
    for seed in 109..=116 {
        let mut fleet = running_fleet(seed);
        fleet.frozen.insert("a1-3".to_owned());
        fleet.run(6.0);
        fleet.assert_state("a1-3", Some(MemberState::Suspect));
        fleet.run(14.0);
        fleet.assert_state("a1-3", Some(MemberState::Gone));
    }
}

/// A member fails, and the first to miss it is in another data centre, where it
/// may not judge. Whoever it asks in the member's own data centre must find the
/// member silent itself, without waiting for its own turn.
#[test]
fn member_asked_to_check_another_judges_it() {
    let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
    let mut out = Vec::new();
    let from = |name: &str, message| {
        let peer = example_row(name, 1);
        ControlEnvelope {
            from: peer.instance,
            from_addr: peer.control_addr,
            message,
        }
    };
    let own_row = |name: &str| from(name, ControlMessage::Rows(vec![example_row(name, 1)]));
    let target = example_row("a-2", 1).instance;
    for tenth in 0..30 {
        let now = Duration::from_millis(100 * tenth);
        core.handle(now, own_row("b-1"), &mut out);
        if tenth <= 10 {
            core.handle(now, own_row("a-2"), &mut out);
        }
        if tenth == 10 {
            let message = ControlMessage::ProbeRequest(target.clone());
            core.handle(now, from("b-1", message), &mut out);
        }
        core.tick(now, &mut out);
    }
    let state = core.member(&target).map(|row| row.state);
    assert_eq!(state, Some(MemberState::Suspect));
}

/// An instance freezes for half a minute and is declared gone. When it thaws
/// it must return to everyone's list under a higher incarnation, without
/// blaming others for its own silence; tickets bound to `started` stay good.
#[test]
fn thawed_member_refutes() {
    let mut fleet = running_fleet(9);
    let before = fleet.cores["a2-1"].own_row().clone();
    fleet.frozen.insert("a2-1".to_owned());
    fleet.run(30.0);
    fleet.assert_state("a2-1", Some(MemberState::Gone));
    let suspected = fleet.total(|core| core.counters().suspected);
    fleet.frozen.clear();
    fleet.run(15.0);
    fleet.assert_members(18);
    let after = fleet.cores["a2-1"].own_row();
    assert!(after.incarnation > before.incarnation);
    assert_eq!(after.started, before.started);
    assert_eq!(fleet.total(|core| core.counters().suspected), suspected);
}

/// An instance freezes for half a minute and thaws. In its first moments it has
/// old news only: it must not take the other data centres for cut off, and
/// refuse their backend servers to callers, because of its own silence.
#[test]
fn thawed_member_takes_nobody_for_cut_off() {
    let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
    let mut out = Vec::new();
    let peer = example_row("b-1", 1);
    let envelope = ControlEnvelope {
        from: peer.instance.clone(),
        from_addr: peer.control_addr,
        message: ControlMessage::Rows(vec![peer.clone()]),
    };
    core.handle(Duration::ZERO, envelope, &mut out);
    core.tick(Duration::from_millis(100), &mut out);
    core.tick(Duration::from_secs(30), &mut out);
    assert!(core.cut_off().is_empty());
    assert!(core.reachable(&peer.instance));
    for tenth in 301..500 {
        core.tick(Duration::from_millis(100 * tenth), &mut out);
    }
    assert!(
        !core.cut_off().is_empty(),
        "silence since then is another's"
    );
}

/// A member thaws after it was declared gone, while the node that it writes to
/// has spent its budget for repairs on others. It must be told at once all the
/// same, or it stays without work until the budget is back.
#[test]
fn misjudged_member_is_told_with_the_repair_budget_spent() {
    let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
    let mut out = Vec::new();
    let from = |name: &str, message| {
        let peer = example_row(name, 1);
        ControlEnvelope {
            from: peer.instance,
            from_addr: peer.control_addr,
            message,
        }
    };
    let mut rows: Vec<_> = (2..1_502)
        .map(|index| example_row(&format!("a-{index}"), 1))
        .collect();
    rows[0].state = MemberState::Gone;
    let gone = rows[0].clone();
    core.handle(
        Duration::ZERO,
        from("a-9", ControlMessage::Rows(rows)),
        &mut out,
    );
    for index in 10..40 {
        let message = ControlMessage::Buckets(vec![0; geranium_spread::BUCKETS]);
        core.handle(
            Duration::ZERO,
            from(&format!("a-{index}"), message),
            &mut out,
        );
    }
    assert!(core.counters().repairs_withheld > 0);
    out.clear();
    let message = ControlMessage::ConfigWant { have: None };
    core.handle(Duration::ZERO, from("a-2", message), &mut out);
    let told = out.iter().any(|action| {
        matches!(action, FleetAction::Send { message: ControlMessage::Rows(rows), .. } if *rows == [gone.clone()])
    });
    assert!(told, "{out:?}");
}

/// A rack with a third of a data centre goes dark at one moment.
#[test]
fn lost_rack_is_gone_and_the_rest_stays() {
    let mut fleet = running_fleet(10);
    for name in ["a1-0", "a1-1"] {
        fleet.cores.remove(name);
        fleet.versions.remove(name);
    }
    fleet.run(25.0);
    fleet.assert_members(16);
}

/// A node restarts under its name on an instance whose clock was set back: its
/// incarnation is lower than the fleet remembers. It must overrule the old row,
/// not be hidden by it.
#[test]
fn restart_with_a_clock_set_back_takes_a_higher_incarnation() {
    let mut fleet = running_fleet(11);
    set_state(&mut fleet, "a1-4", MemberState::Gone);
    fleet.run(1.0);
    let seeds = vec![fleet.cores["a1-0"].own_row().control_addr];
    let settings = FleetSettings {
        seeds,
        ..FleetSettings::default()
    };
    fleet.start_with("a1-4", settings, 1);
    fleet.run(5.0);
    fleet.assert_state("a1-4", Some(MemberState::Live));
    assert_eq!(fleet.cores["a1-4"].own_row().started, Incarnation::new(1));
}

/// A member left. A row from before comes late, from a peer that lagged: it
/// must not bring the member back, neither while the tombstone stands nor by
/// tombstones that nodes hand to each other for ever.
#[test]
fn late_row_brings_nobody_back() {
    let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
    let mut out = Vec::new();
    let rows = |row| {
        let message = ControlMessage::Rows(vec![row]);
        let peer = example_row("a-2", 1);
        ControlEnvelope {
            from: peer.instance,
            from_addr: peer.control_addr,
            message,
        }
    };
    let mut gone = example_row("a-3", 5);
    gone.state = MemberState::Gone;
    core.handle(Duration::ZERO, rows(example_row("a-3", 5)), &mut out);
    core.handle(Duration::ZERO, rows(gone.clone()), &mut out);
    core.handle(
        Duration::from_secs(1),
        rows(example_row("a-3", 5)),
        &mut out,
    );
    assert_eq!(core.members().count(), 1);
    let day = Duration::from_secs(86_400);
    core.tick(day, &mut out);
    assert!(
        core.member(&gone.instance).is_none(),
        "the tombstone was dropped"
    );
}

/// A request breaks one backend server after another. Each crash must be known
/// everywhere once, though messages are lost and doubled, and be forgotten
/// when its hold is over.
#[test]
fn crash_rows_reach_everyone_and_expire() {
    let mut fleet = running_fleet(12);
    (fleet.loss, fleet.doubling) = (0.3, 0.3);
    let row = CrashRow {
        fingerprint: 77,
        instance: "a1-0".parse().unwrap(),
        announced: Incarnation::new(4),
    };
    fleet.act("a1-0", |core, now, out| {
        core.report_crash(now, row.clone(), out);
    });
    fleet.run(15.0);
    assert_eq!(fleet.crashes.len(), 18);
    assert!(fleet.crashes.values().all(|heard| *heard == [row.clone()]));
    fleet.run(620.0);
    fleet.act("a1-0", |core, now, out| {
        core.report_crash(now, row.clone(), out);
    });
    fleet.run(15.0);
    assert!(
        fleet.crashes.values().all(|heard| heard.len() == 2),
        "{:?}",
        fleet.crashes
    );
}

/// A backend server breaks while its region is cut off: no link carries the
/// news across. After the mend the far side must learn of it by digests.
#[test]
fn crash_row_crosses_a_mended_cut() {
    let mut fleet = running_fleet(14);
    fleet.cuts.push(("a".to_owned(), "b".to_owned()));
    let row = CrashRow {
        fingerprint: 78,
        instance: "a1-0".parse().unwrap(),
        announced: Incarnation::new(1),
    };
    fleet.act("a1-0", |core, now, out| {
        core.report_crash(now, row.clone(), out);
    });
    fleet.run(10.0);
    assert_eq!(fleet.crashes.len(), 12);
    fleet.cuts.clear();
    fleet.run(12.0);
    assert_eq!(fleet.crashes.len(), 18);
}
