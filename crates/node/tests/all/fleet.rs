//! The view of all members, and the selection among them.

use std::{collections::HashMap, time::Duration};

use geranium_node::{
    distribution::UpdateTiming,
    member::{
        FleetView, LoadReport, MemberKey, MemberRecord, MemberState, PickQuery, TryOutcome,
        VersionFilter,
    },
    store::Revision,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::support::{self, at, peer_addr};

fn record(number: u8, data_centre: &str) -> MemberRecord {
    MemberRecord {
        data_centre: data_centre.to_owned(),
        ..support::record(number)
    }
}

fn view(near: u8, far: u8) -> FleetView {
    announce_members(FleetView::new("hofdi"), near, far)
}

/// Creates a view for a node whose own backend server is the first of the `near` members.
fn view_with_local_first(near: u8, far: u8) -> FleetView {
    announce_members(
        FleetView::with_local_endpoint("hofdi", peer_addr(1)),
        near,
        far,
    )
}

fn announce_members(mut fleet: FleetView, near: u8, far: u8) -> FleetView {
    for number in 1..=near + far {
        let data_centre = if number <= near { "hofdi" } else { "sundahofn" };
        fleet.announce(at(0), record(number, data_centre), Revision(number.into()));
    }
    fleet
}

const QUERY: PickQuery<'static> = PickQuery {
    service: "prices",
    route_hash: 7,
    target_latency: Duration::from_millis(400),
    tried: &[],
    probed: &[],
    response_bytes: 5_000,
    versions: VersionFilter::ANY,
};

/// Creates a load report in which every run takes `run`.
const fn load(running: u32, waiting: u32, run: Duration) -> LoadReport {
    LoadReport {
        running,
        waiting,
        mean_run_time: run,
        route_run_time: run,
        link_backlog: Duration::ZERO,
        limit: None,
        pace: None,
    }
}

/// Counts the picks of each member over a thousand picks with an unchanged view.
fn picks(fleet: &FleetView, now: Duration, query: &PickQuery<'_>) -> HashMap<MemberKey, usize> {
    let mut rng = StdRng::seed_from_u64(7);
    let mut counts = HashMap::new();
    for _ in 0..1_000 {
        if let Some(key) = fleet.pick(now, query, &mut rng) {
            *counts.entry(key).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equal_members_share_evenly() {
    let fleet = view(4, 0);
    let counts = picks(&fleet, at(0), &QUERY);
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|&count| (150..350).contains(&count)),
        "{counts:?}"
    );
}

/// Guards against fetching long responses from another data centre for a small gain in time.
#[test]
fn long_responses_stay_in_the_data_centre_longer() {
    let mut fleet = view(1, 1);
    let near = fleet.key_of(peer_addr(1)).expect("the member is known");
    let far = fleet.key_of(peer_addr(2)).expect("the member is known");
    fleet.record_load(at(0), near, QUERY.route_hash, load(12, 4, at(100)));
    fleet.record_load(at(0), far, QUERY.route_hash, load(0, 0, at(100)));
    let long = PickQuery {
        response_bytes: 90_000,
        ..QUERY
    };
    assert!(picks(&fleet, at(0), &QUERY).contains_key(&far));
    assert!(!picks(&fleet, at(0), &QUERY).contains_key(&near));
    assert!(!picks(&fleet, at(0), &long).contains_key(&far));
}

/// Guards against requesting a long response from another data centre before a member of the
/// node's own data centre has refused it.
#[test]
fn long_answers_are_asked_for_at_home_first() {
    let mut fleet = view(1, 7);
    let near = fleet.key_of(peer_addr(1)).expect("the member is known");
    fleet.record_load(at(0), near, QUERY.route_hash, load(11, 0, at(100)));
    let long = PickQuery {
        response_bytes: 90_000,
        ..QUERY
    };
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        assert_eq!(
            fleet.pick_in_data_centre(at(0), &long, &mut rng),
            Some(near)
        );
    }
    assert_eq!(fleet.pick_in_data_centre(at(0), &QUERY, &mut rng), None);
    let refused = TryOutcome::LinkRefused {
        retry_after: at(100),
    };
    fleet.record_try_outcome(at(0), near, refused);
    assert_eq!(fleet.pick_in_data_centre(at(10), &long, &mut rng), None);
    assert_eq!(
        fleet.pick_in_data_centre(at(110), &long, &mut rng),
        Some(near)
    );
}

/// Guards against refusing a request with a long response because links are full when the
/// node's own backend server can serve it.
#[test]
fn long_answers_from_the_same_instance_use_no_link() {
    let mut fleet = view_with_local_first(3, 1);
    let own = fleet.key_of(peer_addr(1)).expect("the member is known");
    let full = LoadReport {
        link_backlog: at(2_000),
        ..load(1, 0, at(100))
    };
    fleet.record_load(at(0), own, QUERY.route_hash, full);
    let refused = TryOutcome::LinkRefused {
        retry_after: at(300),
    };
    for number in 2..=4 {
        let other = fleet
            .key_of(peer_addr(number))
            .expect("the member is known");
        fleet.record_try_outcome(at(0), other, refused);
    }
    let long = PickQuery {
        response_bytes: 90_000,
        ..QUERY
    };
    assert_eq!(fleet.link_wait(at(10), &long), None);
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        assert_eq!(
            fleet.pick_in_data_centre(at(10), &long, &mut rng),
            Some(own)
        );
    }
    let tried = PickQuery {
        tried: &[own],
        ..long
    };
    assert!(fleet.link_wait(at(10), &tried).is_some());
    let busy = TryOutcome::Refused {
        retry_after: at(100),
    };
    fleet.record_try_outcome(at(10), own, busy);
    assert!(fleet.link_wait(at(20), &long).is_some());
}

/// Guards against preferring another member of the data centre to the node's own backend
/// server, whose responses use no link.
#[test]
fn long_responses_prefer_the_same_instance_when_links_are_busy() {
    let mut fleet = view_with_local_first(8, 0);
    for number in 1..=8 {
        let key = fleet
            .key_of(peer_addr(number))
            .expect("the member is known");
        let report = LoadReport {
            link_backlog: at(400),
            ..load(4, 0, at(100))
        };
        fleet.record_load(at(0), key, QUERY.route_hash, report);
    }
    let own = fleet.key_of(peer_addr(1)).expect("the member is known");
    let long = PickQuery {
        response_bytes: 90_000,
        ..QUERY
    };
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..100 {
        assert_eq!(fleet.pick_in_data_centre(at(0), &long, &mut rng), Some(own));
    }
}

/// Guards against sending requests to a member that is ten times slower than the others.
#[test]
fn a_slow_member_gets_no_requests() {
    let mut fleet = view(4, 0);
    for number in 1..=4 {
        let key = fleet
            .key_of(peer_addr(number))
            .expect("the member is known");
        let service = if number == 1 { at(1_000) } else { at(100) };
        fleet.record_load(at(0), key, QUERY.route_hash, load(1, 0, service));
    }
    let slow = fleet.key_of(peer_addr(1)).expect("the member is known");
    assert!(!picks(&fleet, at(0), &QUERY).contains_key(&slow));
}

/// Guards against sending request after request to an unreachable member, and against never
/// trying it again.
#[test]
fn an_unreachable_member_is_ejected_for_longer_each_time() {
    let mut fleet = view(2, 0);
    let dead = fleet.key_of(peer_addr(1)).expect("the member is known");
    fleet.record_try_outcome(at(0), dead, TryOutcome::Unreachable);
    assert!(!picks(&fleet, at(100), &QUERY).contains_key(&dead));
    assert!(picks(&fleet, at(600), &QUERY).contains_key(&dead));
    fleet.record_try_outcome(at(600), dead, TryOutcome::Unreachable);
    assert!(!picks(&fleet, at(1_500), &QUERY).contains_key(&dead));
    let other = fleet.key_of(peer_addr(2)).expect("the member is known");
    let alone = PickQuery {
        tried: &[other],
        ..QUERY
    };
    assert!(picks(&fleet, at(700), &alone).contains_key(&dead));
    fleet.record_try_outcome(at(1_900), dead, TryOutcome::Answered { failed: false });
    assert!(picks(&fleet, at(1_900), &QUERY).contains_key(&dead));
}

#[test]
fn a_leaving_member_is_never_picked() {
    let mut fleet = view(1, 0);
    let leaving = MemberRecord {
        state: MemberState::Leaving,
        ..record(1, "hofdi")
    };
    assert!(fleet.announce(at(0), leaving, Revision(9)));
    assert!(picks(&fleet, at(0), &QUERY).is_empty());
    // The earlier announcement arrives late from another source.
    assert!(!fleet.announce(at(1), record(1, "hofdi"), Revision(1)));
    assert!(picks(&fleet, at(1), &QUERY).is_empty());
}

/// Guards against dropping a member whose announcement is missing only briefly, and against
/// keeping one whose announcement stays missing.
#[test]
fn a_member_without_an_announcement_is_dropped_after_a_grace_time() {
    let mut fleet = view(2, 0);
    let both: Vec<MemberKey> = (1..=2)
        .filter_map(|number| fleet.key_of(peer_addr(number)))
        .collect();
    assert!(fleet.lapse(at(0), peer_addr(1), Revision(20)));
    assert!(!fleet.lapse(at(0), peer_addr(1), Revision(20)));
    assert!(fleet.sweep(at(1_000)).is_empty());
    fleet.record_try_outcome(at(1_000), both[0], TryOutcome::Answered { failed: false });
    assert!(picks(&fleet, at(1_000), &QUERY).contains_key(&both[0]));
    assert!(fleet.announce(at(1_500), record(1, "hofdi"), Revision(21)));
    assert!(fleet.sweep(at(9_000)).is_empty());
    assert!(fleet.lapse(at(9_000), peer_addr(1), Revision(22)));
    assert_eq!(fleet.sweep(at(12_000)).len(), 1);
    assert!(fleet.get(both[0]).is_none());
    assert_eq!(fleet.len(), 1);
}

/// Guards against second tries that only add load because all members fail equally often.
#[test]
fn a_second_try_needs_a_healthier_member() {
    let mut fleet = view(3, 0);
    let keys: Vec<MemberKey> = (1..=3)
        .filter_map(|number| fleet.key_of(peer_addr(number)))
        .collect();
    for step in 0..20 {
        for &key in &keys {
            fleet.record_try_outcome(at(step), key, TryOutcome::Answered { failed: false });
        }
    }
    fleet.record_try_outcome(at(30), keys[0], TryOutcome::Answered { failed: true });
    let query = PickQuery {
        tried: &keys[..1],
        ..QUERY
    };
    assert!(fleet.has_healthier(at(30), keys[0], &query));
    for step in 0..20 {
        for &key in &keys {
            fleet.record_try_outcome(
                at(40 + step),
                key,
                TryOutcome::Answered {
                    failed: step % 2 == 0,
                },
            );
        }
    }
    assert!(!fleet.has_healthier(at(60), keys[0], &query));
}

/// Guards against second tries at members that look healthier by chance.
#[test]
fn chance_makes_no_member_healthier() {
    let mut fleet = view(30, 0);
    let keys: Vec<MemberKey> = (1..=30)
        .filter_map(|number| fleet.key_of(peer_addr(number)))
        .collect();
    let mut rng = StdRng::seed_from_u64(5);
    let (mut failures, mut tried_again) = (0, 0);
    for step in 0..150 {
        let key = keys[rng.random_range(0..keys.len())];
        let failed = rng.random::<bool>();
        fleet.record_try_outcome(at(step), key, TryOutcome::Answered { failed });
        if step > 30 && failed {
            let tried = [key];
            let query = PickQuery {
                tried: &tried,
                ..QUERY
            };
            failures += 1;
            tried_again += usize::from(fleet.has_healthier(at(step), key, &query));
        }
    }
    assert!(tried_again * 4 < failures, "{tried_again} of {failures}");
}

/// Guards against updates that omit dropped members or repeat known changes.
#[test]
fn updates_hold_what_changed_since() {
    let mut fleet = view(3, 0);
    fleet.advance(Revision(3));
    assert!(fleet.update_since(Revision(3)).is_empty());
    let whole = fleet.update_since(Revision(0));
    assert!(whole.whole);
    assert_eq!(whole.written.len(), 3);
    fleet.announce(
        at(0),
        MemberRecord {
            version: None,
            suspended: false,
            is_final: false,
            left_before: None,
            slots: 3,
            ..record(2, "hofdi")
        },
        Revision(7),
    );
    fleet.lapse(at(0), peer_addr(1), Revision(8));
    fleet.remove(peer_addr(3), Revision(9));
    fleet.advance(Revision(9));
    let updates = fleet.update_since(Revision(3));
    assert!(!updates.whole);
    assert_eq!(updates.written.len(), 1);
    assert_eq!(updates.written[0].1, 7);
    let mut lapsed: Vec<u64> = updates
        .lapsed
        .iter()
        .map(|(_, revision)| *revision)
        .collect();
    lapsed.sort_unstable();
    assert_eq!(lapsed, [8, 9]);
    fleet.sweep(at(10_000));
    let updates = fleet.update_since(Revision(7));
    assert_eq!(updates.lapsed.len(), 2);
}

/// Guards against dropped members that other nodes keep because a restarted node never saw
/// them.
#[test]
fn updates_from_before_a_new_list_are_whole() {
    let mut fleet = view(3, 0);
    fleet.apply_list(at(0), Revision(70), |_| true);
    let updates = fleet.update_since(Revision(50));
    assert!(
        updates.whole,
        "members dropped before the list aren't known"
    );
    assert_eq!(updates.written.len(), 3);
    assert!(!fleet.update_since(Revision(70)).whole);
    fleet.remove(peer_addr(2), Revision(71));
    fleet.advance(Revision(71));
    assert!(!fleet.update_since(Revision(70)).whole);
    assert!(fleet.update_since(Revision(69)).whole);
}

/// Guards against counting a member without a backend server as one with a free link when
/// all other links are full.
#[test]
fn a_broken_member_draws_no_files_from_full_links() {
    let now = at(1_000);
    let mut fleet = view(3, 0);
    let keys = [1, 2, 3].map(|number| {
        fleet
            .key_of(peer_addr(number))
            .expect("the member is known")
    });
    let query = PickQuery {
        response_bytes: 280_000,
        ..QUERY
    };
    let retry_after = Duration::from_millis(120);
    fleet.record_try_outcome(now, keys[0], TryOutcome::LinkRefused { retry_after });
    fleet.record_try_outcome(now, keys[1], TryOutcome::LinkRefused { retry_after });
    assert_eq!(
        fleet.link_wait(now, &query),
        None,
        "the third link may have capacity"
    );
    fleet.record_try_outcome(now, keys[2], TryOutcome::NoBackend);
    assert_eq!(fleet.link_wait(now, &query), Some(retry_after));
}

/// Guards against members that count as silent after a start, before any member has reported
/// its run times.
#[test]
fn a_member_of_unknown_pace_is_given_the_target_time() {
    let fleet = view(1, 1);
    let key = fleet.key_of(peer_addr(1)).expect("the member is announced");
    assert!(fleet.silence_timeout(at(10), key, &QUERY) >= QUERY.target_latency);
}

/// Guards against new requests for a start that has said in a response that it leaves, after its
/// announcement was dropped and came back.
#[test]
fn a_start_that_said_it_leaves_is_not_picked_again() {
    let mut fleet = view(4, 0);
    assert!(fleet.record_leaving(Duration::ZERO, &support::record(1).start));
    let is_picked = |fleet: &FleetView, now| {
        let key = fleet.key_of(peer_addr(1));
        key.is_some_and(|key| picks(fleet, now, &QUERY).contains_key(&key))
    };
    assert!(!is_picked(&fleet, at(1)));
    fleet.lapse(at(10), peer_addr(1), Revision(10));
    assert_eq!(fleet.sweep(at(5_000)).len(), 1);
    fleet.announce(at(5_001), record(1, "hofdi"), Revision(11));
    assert!(!is_picked(&fleet, at(5_002)));
    let next = MemberRecord {
        start: support::start("i-next"),
        ..record(1, "hofdi")
    };
    fleet.announce(at(6_000), next, Revision(12));
    assert!(is_picked(&fleet, at(6_001)));
}

/// Guards against new requests for a start that has said in a response that it leaves, if its
/// announcement was dropped and came back while the request ran.
#[test]
fn a_start_that_came_back_while_a_request_ran_is_not_picked_after_its_notice() {
    let mut fleet = view(6, 0);
    fleet.remove(peer_addr(1), Revision(10));
    fleet.remove(peer_addr(2), Revision(11));
    fleet.announce(at(5_001), record(1, "hofdi"), Revision(12));
    fleet.announce(at(5_002), record(2, "hofdi"), Revision(13));
    assert!(fleet.record_leaving(Duration::ZERO, &support::record(1).start));
    let picked = picks(&fleet, at(5_003), &QUERY);
    let key_of = |number| fleet.key_of(peer_addr(number)).expect("it is announced");
    assert!(!picked.contains_key(&key_of(1)));
    assert!(picked.contains_key(&key_of(2)));
}

/// Guards against new requests for a start whose announced leaving is replaced by an older announcement
/// at a higher revision, as in a store that was restored from a copy.
#[test]
fn an_older_announcement_at_a_higher_revision_readmits_no_start_that_left() {
    let ready = |sequence| MemberRecord {
        sequence,
        ..record(1, "hofdi")
    };
    let leaving = |sequence, is_final| MemberRecord {
        state: MemberState::Leaving,
        is_final,
        ..ready(sequence)
    };
    let is_picked = |fleet: &FleetView| {
        let key = fleet.key_of(peer_addr(1)).expect("it is announced");
        picks(fleet, at(100), &QUERY).contains_key(&key)
    };
    let mut fleet = view(4, 0);
    fleet.announce(at(10), leaving(7, false), Revision(20));
    fleet.announce(at(20), ready(2), Revision(30));
    assert!(!is_picked(&fleet));
    assert_eq!(fleet.left_records(), [&leaving(7, false)]);
    fleet.announce(at(30), ready(8), Revision(31));
    assert!(is_picked(&fleet), "a later report readmits it");
    assert!(fleet.left_records().is_empty());
    fleet.announce(at(40), leaving(8, true), Revision(32));
    fleet.announce(at(50), ready(9), Revision(33));
    assert!(!is_picked(&fleet), "it has left for good");
}

/// Guards against a server that gets no requests after its node's stop, as the announcement of leaving
/// has the number of the last report of readiness, and the store is restored to before the stop.
#[test]
fn a_start_whose_node_stopped_is_used_after_a_drill() {
    let mut fleet = view(4, 0);
    let stopping = MemberRecord {
        state: MemberState::Leaving,
        ..record(1, "hofdi")
    };
    fleet.announce(at(10), stopping, Revision(20));
    fleet.announce(at(20), record(1, "hofdi"), Revision(30));
    let key = fleet.key_of(peer_addr(1)).expect("it is announced");
    assert!(picks(&fleet, at(100), &QUERY).contains_key(&key));
}

/// Guards against waits that are longer than the time in which a configuration has to be in force.
#[test]
fn update_times_stay_below_any_configuration_time() {
    for millis in [50, 500, 2_000, 2_500, 4_000, 60_000] {
        let config_time = Duration::from_millis(millis);
        let timing = UpdateTiming::new(config_time);
        let next_source_at = timing.poll_wait + timing.overdue_after;
        assert!(next_source_at <= config_time.mul_f64(0.5));
        let next_relay_at = timing.poll_wait.max(timing.proof_wait) + timing.response_margin;
        assert!(next_relay_at <= config_time.mul_f64(0.6));
        assert!(timing.head_start + timing.response_margin < config_time.mul_f64(0.5));
        assert!(timing.first_wait <= timing.poll_wait);
    }
}
