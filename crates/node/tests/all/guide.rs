//! Which node watches the store for whom.

use geranium_node::{
    distribution::{RelaySelector, StoreReachability, UpdateSource},
    member::MemberRecord,
};

use crate::support::{at, peer_addr, record};

fn contact(age_ms: u64, lost: bool) -> StoreReachability {
    let age = at(age_ms);
    StoreReachability { age, lost }
}

#[test]
fn all_follow_the_first_and_the_first_watches() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let choice = |own| {
        let mut relay_selector = RelaySelector::new(peer_addr(own));
        relay_selector.store_answered(at(0));
        relay_selector.choose(at(100), &order)
    };
    assert_eq!(choice(1), UpdateSource::Store);
    for own in 2..6 {
        assert_eq!(choice(own), UpdateSource::Node(peer_addr(1)));
    }
}

/// The first one hangs, then the second. The third node goes on to the store
/// itself, and returns to the first when its time out is over.
#[test]
fn a_guide_that_fails_is_passed_over_for_a_while() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut relay_selector = RelaySelector::new(peer_addr(3));
    relay_selector.store_answered(at(0));
    relay_selector.record_relay_failure(at(0), peer_addr(1));
    assert_eq!(
        relay_selector.choose(at(10), &order),
        UpdateSource::Node(peer_addr(2))
    );
    relay_selector.record_relay_failure(at(10), peer_addr(2));
    assert_eq!(relay_selector.choose(at(20), &order), UpdateSource::Store);
    relay_selector.store_answered(at(5_000));
    assert_eq!(
        relay_selector.choose(at(6_000), &order),
        UpdateSource::Node(peer_addr(1))
    );
}

/// Guards against following a guide with older news than this node has, and leaving one with newer.
#[test]
fn a_guide_with_old_news_is_passed_over_by_those_with_newer() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut relay_selector = RelaySelector::new(peer_addr(3));
    relay_selector.store_answered(at(10_000));
    assert!(!relay_selector.record_reachability(at(10_100), peer_addr(1), contact(6_000, false)));
    assert_eq!(
        relay_selector.choose(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    let mut away = RelaySelector::new(peer_addr(3));
    away.store_answered(at(1_000));
    assert!(!away.record_reachability(at(10_100), peer_addr(1), contact(6_000, false)));
    assert_eq!(
        away.choose(at(10_100), &order),
        UpdateSource::Node(peer_addr(1))
    );
}

/// The store turns the first node itself away. It asks the second, as
/// everybody else does by then.
#[test]
fn a_node_that_is_cut_off_follows_another() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut relay_selector = RelaySelector::new(peer_addr(1));
    relay_selector.store_answered(at(0));
    assert_eq!(
        relay_selector.choose(at(3_000), &order),
        UpdateSource::Store
    );
    assert_eq!(
        relay_selector.choose(at(4_000), &order),
        UpdateSource::Node(peer_addr(2))
    );
    assert_eq!(
        relay_selector.choose(at(4_000), &order[..1]),
        UpdateSource::Store
    );
}

#[test]
fn a_question_makes_a_watcher_for_a_while() {
    let mut relay_selector = RelaySelector::new(peer_addr(4));
    relay_selector.record_update_request(at(0));
    assert!(relay_selector.has_recent_update_request(at(4_500)));
    assert!(!relay_selector.has_recent_update_request(at(5_500)));
}

/// Guards against following a guide that has reported losing the store.
#[test]
fn a_guide_that_has_lost_the_store_is_passed_over_at_once() {
    let records: Vec<MemberRecord> = (1..5).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut follower = RelaySelector::new(peer_addr(3));
    follower.store_answered(at(10_000));
    assert!(!follower.record_reachability(at(10_100), peer_addr(1), contact(200, true)));
    assert_eq!(
        follower.choose(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    let mut itself = RelaySelector::new(peer_addr(1));
    itself.store_answered(at(10_000));
    assert!(itself.record_store_lost());
    assert!(!itself.record_store_lost());
    assert_eq!(
        itself.choose(at(10_100), &order),
        UpdateSource::Node(peer_addr(2))
    );
    itself.store_answered(at(10_200));
    assert_eq!(itself.choose(at(10_200), &order), UpdateSource::Store);
}

/// Guards against followers that go from guide to guide while the store is away for all.
#[test]
fn one_guide_looks_for_a_store_that_is_away_for_all() {
    let records: Vec<MemberRecord> = (1..6).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut relay_selector = RelaySelector::new(peer_addr(5));
    relay_selector.store_answered(at(10_000));
    assert!(!relay_selector.record_reachability(at(10_100), peer_addr(1), contact(200, true)));
    assert!(relay_selector.record_reachability(at(10_200), peer_addr(2), contact(200, true)));
    assert_eq!(
        relay_selector.choose(at(10_300), &order),
        UpdateSource::Node(peer_addr(3))
    );
    relay_selector.record_store_lost();
    assert_eq!(
        relay_selector.choose(at(10_300), &order),
        UpdateSource::Node(peer_addr(1))
    );
}
