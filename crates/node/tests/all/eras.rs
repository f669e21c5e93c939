//! What nodes know from different eras of the store.

use std::time::Duration;

use geranium_node::{
    crash::{CrashHistory, CrashRecord},
    member::{FleetView, MemberRecord, MemberState},
    store::{Revision, StoreEra},
};
use proptest::prelude::*;

use crate::support::{self, start};

const NOW: Duration = Duration::from_secs(1);

fn revision(era: u32, number: u64) -> Revision {
    Revision::in_era(StoreEra(era), number)
}

fn record(state: MemberState) -> MemberRecord {
    MemberRecord {
        state,
        ..support::record(4)
    }
}

/// Guards against an answer of an earlier era that comes last and undoes what is known.
#[test]
fn an_answer_of_an_earlier_era_undoes_nothing() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(MemberState::Leaving), revision(2, 5));
    assert!(!fleet.announce(NOW, record(MemberState::Ready), revision(1, 900)));
    assert!(!fleet.lapse(NOW, support::record(4).peer_addr, revision(1, 901)));
    fleet.listed(NOW, revision(1, 902), |_| false);
    let member = fleet
        .at(support::record(4).peer_addr)
        .expect("it is announced");
    assert_eq!(member.record.state, MemberState::Leaving);
    assert!(!member.has_lapsed());
}

/// Guards against a view that stays deaf until the counter of the new era has caught up.
#[test]
fn news_of_a_later_era_are_taken_in_at_lower_numbers() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(MemberState::Ready), revision(1, 900));
    fleet.listed(NOW, revision(1, 900), |_| true);
    assert!(fleet.announce(NOW, record(MemberState::Leaving), revision(2, 3)));
    fleet.listed(NOW, revision(2, 3), |_| true);
    assert_eq!(fleet.revision(), revision(2, 3));
    let updates = fleet.update_since(revision(1, 900));
    assert!(updates.whole);
    assert_eq!(updates.written.len(), 1);
}

/// Guards against crashes of a new era that aren't handed on to nodes that know the one before.
#[test]
fn crashes_of_a_later_era_are_handed_on() {
    let mut book = CrashHistory::default();
    let row = CrashRecord {
        fingerprint: 7,
        start: start("i-1"),
    };
    book.record(NOW, row, revision(2, 3));
    assert_eq!(book.records_since(revision(1, 900)).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an order in which news arrive that decides what is known in the end.
    #[test]
    fn the_latest_era_wins_in_any_order(
        updates in prop::collection::vec((1..4_u32, 1..20_u64, any::<bool>()), 1..30),
    ) {
        let mut fleet = FleetView::new("hofdi");
        for &(era, number, leaving) in &updates {
            let state = if leaving { MemberState::Leaving } else { MemberState::Ready };
            fleet.announce(NOW, record(state), revision(era, number));
        }
        let last = updates.iter().map(|&(era, number, _)| (era, number)).max();
        let (era, number) = last.expect("there are news");
        let known = fleet.at(support::record(4).peer_addr).expect("it is announced");
        prop_assert_eq!(known.revision(), revision(era, number));
        let latest = updates.iter().rfind(|updates| (updates.0, updates.1) == (era, number));
        let leaving = latest.expect("it is there").2;
        prop_assert_eq!(known.record.state == MemberState::Leaving, leaving);
    }

    /// Guards against revisions that nodes tell one another and that lose their era.
    #[test]
    fn a_revision_is_the_same_after_it_was_told(era in 0..60_000_u32, number in 1..1_u64 << 47) {
        let told = revision(era, number);
        let heard = Revision(told.0);
        prop_assert_eq!((heard.era(), heard.number()), (StoreEra(era), number));
        prop_assert!(heard < revision(era + 1, 1));
    }
}
