//! Tests of the selection of the relay, which watches the store for others.

use geranium_node::{
    distribution::{RelaySelector, StoreReachability, UpdateSource},
    member::MemberRecord,
};

use crate::support::{at, peer_addr, record};

fn reachability(age_ms: u64, lost: bool) -> StoreReachability {
    let age = at(age_ms);
    StoreReachability { age, lost }
}

#[test]
fn the_first_member_is_the_relay_of_all_others() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let choice = |own| {
        let mut selector = RelaySelector::new(peer_addr(own));
        selector.record_store_response(at(0));
        selector.select(at(100), &order)
    };
    assert_eq!(choice(1), UpdateSource::Store);
    for own in 2..6 {
        assert_eq!(choice(own), UpdateSource::Node(peer_addr(1)));
    }
}

/// Guards against keeping a failed relay, or never returning to it.
///
/// The first relay hangs, then the second. The third node uses the store directly, and
/// returns to the first relay when the exclusion ends.
#[test]
fn a_failed_relay_is_skipped_for_a_while() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut selector = RelaySelector::new(peer_addr(3));
    selector.record_store_response(at(0));
    selector.record_relay_failure(at(0), peer_addr(1));
    assert_eq!(
        selector.select(at(10), &order),
        UpdateSource::Node(peer_addr(2))
    );
    selector.record_relay_failure(at(10), peer_addr(2));
    assert_eq!(selector.select(at(20), &order), UpdateSource::Store);
    selector.record_store_response(at(5_000));
    assert_eq!(
        selector.select(at(6_000), &order),
        UpdateSource::Node(peer_addr(1))
    );
}

/// Guards against using a relay to which the store last responded earlier than to this node.
///
/// A node that is cut off as well must keep using the relay.
#[test]
fn a_relay_cut_off_from_the_store_is_skipped_by_nodes_that_reach_it() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut selector = RelaySelector::new(peer_addr(3));
    selector.record_store_response(at(10_000));
    assert!(!selector.record_reachability(at(10_100), peer_addr(1), reachability(6_000, false)));
    assert_eq!(
        selector.select(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    let mut cut_off_selector = RelaySelector::new(peer_addr(3));
    cut_off_selector.record_store_response(at(1_000));
    assert!(!cut_off_selector.record_reachability(
        at(10_100),
        peer_addr(1),
        reachability(6_000, false)
    ));
    assert_eq!(
        cut_off_selector.select(at(10_100), &order),
        UpdateSource::Node(peer_addr(1))
    );
}

/// Guards against a node that keeps watching a store which refuses its calls.
///
/// The first node uses the second as its relay, as the other nodes do by then.
#[test]
fn a_node_cut_off_from_the_store_uses_another_as_its_relay() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut selector = RelaySelector::new(peer_addr(1));
    selector.record_store_response(at(0));
    assert_eq!(selector.select(at(3_000), &order), UpdateSource::Store);
    assert_eq!(
        selector.select(at(4_000), &order),
        UpdateSource::Node(peer_addr(2))
    );
    assert_eq!(selector.select(at(4_000), &order[..1]), UpdateSource::Store);
}

#[test]
fn a_node_watches_the_store_for_a_while_after_an_update_request() {
    let mut selector = RelaySelector::new(peer_addr(4));
    selector.record_update_request(at(0));
    assert!(selector.has_recent_update_request(at(4_500)));
    assert!(!selector.has_recent_update_request(at(5_500)));
}

/// Guards against using a relay that has reported that it lost the store.
#[test]
fn a_relay_that_has_lost_the_store_is_skipped_at_once() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut selector = RelaySelector::new(peer_addr(3));
    selector.record_store_response(at(10_000));
    assert!(!selector.record_reachability(at(10_100), peer_addr(1), reachability(200, true)));
    assert_eq!(
        selector.select(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    let mut relay = RelaySelector::new(peer_addr(1));
    relay.record_store_response(at(10_000));
    assert!(relay.record_store_lost());
    assert!(!relay.record_store_lost());
    assert_eq!(
        relay.select(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    relay.record_store_response(at(10_200));
    assert_eq!(relay.select(at(10_200), &order), UpdateSource::Store);
}

/// Guards against changing from relay to relay while the store is unavailable to all.
#[test]
fn one_guide_looks_for_a_store_that_is_away_for_all() {
    let records: Vec<MemberRecord> = (1..6).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut selector = RelaySelector::new(peer_addr(5));
    selector.record_store_response(at(10_000));
    assert!(!selector.record_reachability(at(10_100), peer_addr(1), reachability(200, true)));
    assert!(selector.record_reachability(at(10_200), peer_addr(2), reachability(200, true)));
    assert_eq!(
        selector.select(at(10_300), &order),
        UpdateSource::Node(peer_addr(3))
    );
    selector.record_store_lost();
    assert_eq!(
        selector.select(at(10_300), &order),
        UpdateSource::Node(peer_addr(1))
    );
}
