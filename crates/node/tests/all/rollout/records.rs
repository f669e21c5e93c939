//! Records of rollouts from several sources.

use std::time::Duration;

use geranium_node::{
    rollout::{RolloutPhase, RolloutRecord, RolloutRegistry},
    store::{Revision, StoreEra},
};
use proptest::prelude::*;

use super::{order, record, version};

const PHASES: [RolloutPhase; 5] = [
    RolloutPhase::Ordered,
    RolloutPhase::Canary,
    RolloutPhase::Ramp,
    RolloutPhase::Drain,
    RolloutPhase::RolledBack,
];

fn phase_of(registry: &RolloutRegistry) -> Option<RolloutPhase> {
    registry.get("prices").map(|record| record.phase)
}

/// Guards against sending to a version that was rolled back, after the store has come back from
/// an older copy.
#[test]
fn an_older_copy_of_the_store_does_not_revive_a_rollout() {
    let mut registry = RolloutRegistry::default();
    let order = Revision::in_era(StoreEra(1), 10);
    registry.apply(
        record(order.0, RolloutPhase::Canary),
        Revision::in_era(StoreEra(1), 12),
    );
    registry.apply(
        record(order.0, RolloutPhase::RolledBack),
        Revision::in_era(StoreEra(1), 20),
    );
    let copied = record(order.0, RolloutPhase::Canary);
    assert!(!registry.apply(copied, Revision::in_era(StoreEra(2), 12)));
    assert_eq!(phase_of(&registry), Some(RolloutPhase::RolledBack));
    let unsaved: Vec<&str> = registry.unsaved().map(|record| &*record.service).collect();
    assert_eq!(unsaved, ["prices"]);
    assert_eq!(
        registry.revision("prices"),
        Revision::in_era(StoreEra(2), 12)
    );
}

/// Guards against forgetting the end of a rollout that the store lost altogether.
#[test]
fn a_lost_record_of_an_ended_rollout_is_written_again() {
    let mut registry = RolloutRegistry::default();
    registry.apply(record(10, RolloutPhase::Completed), Revision(20));
    assert_eq!(registry.unsaved().count(), 0);
    registry.mark_missing("prices");
    assert_eq!(registry.unsaved().count(), 1);
    assert_eq!(registry.revision("prices"), Revision(0));
}

/// Guards against sending to a bad version while the store is unreachable.
#[test]
fn a_roll_back_counts_before_the_store_holds_it() {
    let mut registry = RolloutRegistry::default();
    registry.apply(record(10, RolloutPhase::Canary), Revision(12));
    assert!(registry.apply(record(10, RolloutPhase::RolledBack), Revision(0)));
    assert!(registry.suspends("prices", Some(&version("v2")), false));
    assert!(!registry.suspends("prices", Some(&version("v1")), false));
    assert!(!registry.apply(record(10, RolloutPhase::Canary), Revision(0)));
}

/// Guards against refusing a version for good that the operator orders again.
#[test]
fn a_new_order_begins_a_new_rollout() {
    let order = order(Duration::from_secs(16));
    let ended = record(10, RolloutPhase::RolledBack);
    assert!(ended.is_of(&order, Revision(10)));
    assert!(!ended.is_of(&order, Revision(30)));
    assert!(record(10, RolloutPhase::Canary).is_of(&order, Revision(30)));
    assert!(record(10, RolloutPhase::Completed).is_of(&order, Revision(30)));
    // The operator's documents are written again when the store comes back from a copy.
    assert!(ended.is_of(&order, Revision::in_era(StoreEra(1), 8)));
    let mut registry = RolloutRegistry::default();
    registry.apply(ended, Revision(20));
    assert!(registry.apply(record(30, RolloutPhase::Ordered), Revision(31)));
    assert_eq!(phase_of(&registry), Some(RolloutPhase::Ordered));
}

/// Guards against a node that keeps the requests of a version which isn't in force any more.
#[test]
fn the_earlier_version_is_suspended_from_the_drain_on() {
    let mut registry = RolloutRegistry::default();
    let expected = [false, false, false, true, false];
    for (number, (phase, suspended)) in PHASES.into_iter().zip(expected).enumerate() {
        registry.apply(record(10, phase), Revision(20 + number as u64));
        assert_eq!(
            registry.suspends("prices", Some(&version("v1")), false),
            suspended,
            "{phase}"
        );
        assert_eq!(
            registry.suspends("prices", None, false),
            suspended,
            "{phase}"
        );
    }
}

/// Guards against refusing for good a later version that comes without an order.
#[test]
fn a_completed_rollout_suspends_only_what_it_drained() {
    let mut registry = RolloutRegistry::default();
    registry.apply(record(10, RolloutPhase::Completed), Revision(20));
    assert!(registry.suspends("prices", Some(&version("v1")), true));
    assert!(!registry.suspends("prices", Some(&version("v3")), false));
    assert!(!registry.suspends("prices", Some(&version("v2")), true));
}

/// Guards against times of day that differ between nodes, or jump.
#[test]
fn the_elapsed_time_is_bounded_whatever_the_clock() {
    let record = RolloutRecord {
        ordered_ms: 1_000_000,
        elapsed_ms: 5_000,
        ..record(10, RolloutPhase::Canary)
    };
    assert_eq!(record.elapsed(1_007_000), Duration::from_secs(7));
    assert_eq!(record.elapsed(0), Duration::from_secs(5));
    assert_eq!(record.elapsed(9_000_000), Duration::from_secs(21));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against nodes that disagree: records arrive in any order, more than once, and from
    /// a copy of the store, and a rollout that was rolled back stays so.
    #[test]
    fn the_order_of_records_changes_nothing(
        mut arrivals in prop::collection::vec((0..PHASES.len(), 1..6u64, 0..3u32), 1..30),
    ) {
        // The store's history: each revision holds one phase, and phases never go back.
        for (phase, revision, _) in &mut arrivals {
            *phase = (*revision as usize - 1).min(PHASES.len() - 1);
        }
        let mut registry = RolloutRegistry::default();
        let mut rolled_back = false;
        for (phase, revision, era) in arrivals {
            let revision = Revision::in_era(StoreEra(era), revision);
            registry.apply(record(Revision::in_era(StoreEra(era), 1).0, PHASES[phase]), revision);
            rolled_back |= phase_of(&registry) == Some(RolloutPhase::RolledBack);
            if rolled_back {
                prop_assert_eq!(phase_of(&registry), Some(RolloutPhase::RolledBack));
            }
        }
    }
}
