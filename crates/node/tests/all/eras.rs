//! Order of updates that come from different eras of the store.

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

/// Guards against a late response of an earlier era that overwrites newer member state.
#[test]
fn a_response_of_an_earlier_era_overwrites_nothing() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(MemberState::Leaving), revision(2, 5));
    assert!(!fleet.announce(NOW, record(MemberState::Ready), revision(1, 900)));
    assert!(!fleet.lapse(NOW, support::record(4).peer_addr, revision(1, 901)));
    fleet.apply_list(NOW, revision(1, 902), |_| false);
    let member = fleet
        .member_at(support::record(4).peer_addr)
        .expect("announced member");
    assert_eq!(member.record.state, MemberState::Leaving);
    assert!(!member.has_lapsed());
}

/// Guards against a view that ignores updates of a new era until its revision numbers
/// exceed those of the era before.
#[test]
fn updates_of_a_later_era_are_applied_at_lower_numbers() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(MemberState::Ready), revision(1, 900));
    fleet.apply_list(NOW, revision(1, 900), |_| true);
    assert!(fleet.announce(NOW, record(MemberState::Leaving), revision(2, 3)));
    fleet.apply_list(NOW, revision(2, 3), |_| true);
    assert_eq!(fleet.revision(), revision(2, 3));
    let updates = fleet.update_since(revision(1, 900));
    assert!(updates.whole);
    assert_eq!(updates.written.len(), 1);
}

/// Guards against crashes of a new era that aren't forwarded to nodes whose latest revision
/// is of the era before.
#[test]
fn crashes_of_a_later_era_are_forwarded() {
    let mut history = CrashHistory::default();
    let crash = CrashRecord {
        fingerprint: 7,
        start: start("i-1"),
        completions: 0,
    };
    history.record(NOW, crash, revision(2, 3));
    assert_eq!(history.records_since(revision(1, 900)).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a final state that depends on the order in which updates arrive.
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
        let (era, number) = last.expect("at least one update");
        let known = fleet.member_at(support::record(4).peer_addr).expect("announced member");
        prop_assert_eq!(known.revision(), revision(era, number));
        let latest = updates.iter().rfind(|update| (update.0, update.1) == (era, number));
        let leaving = latest.expect("an update with the last revision").2;
        prop_assert_eq!(known.record.state == MemberState::Leaving, leaving);
    }

    /// Guards against revisions that lose their era when nodes exchange them as plain numbers.
    #[test]
    fn a_revision_sent_as_a_number_keeps_its_era(era in 0..60_000_u32, number in 1..1_u64 << 47) {
        let sent = revision(era, number);
        let received = Revision(sent.0);
        prop_assert_eq!((received.era(), received.number()), (StoreEra(era), number));
        prop_assert!(received < revision(era + 1, 1));
    }
}
