//! The soak's schedule and its judgement of versions.

use geranium_rig::soak::{FailureKind, FailurePlan, VersionSightings};

#[test]
fn a_seed_gives_the_same_plan_again() {
    let plan = FailurePlan::draw(3, 120, 8);
    assert_eq!(plan, FailurePlan::draw(3, 120, 8));
    assert_ne!(plan.failures, FailurePlan::draw(4, 120, 8).failures);
}

// Only failures that overlap show what becomes of one during another.
#[test]
fn several_failures_are_there_at_once() {
    for seed in 0..50 {
        let plan = FailurePlan::draw(seed, 60, 8);
        let at = |time| {
            let present = plan.failures.iter();
            present
                .filter(|failure| failure.start_ms <= time && time < failure.end_ms)
                .count()
        };
        let most = (0..60).map(|second| at(second * 1_000)).max();
        assert!(most >= Some(3), "seed {seed}: {plan:?}");
    }
}

#[test]
fn a_process_is_held_by_one_failure_at_a_time() {
    for seed in 0..200 {
        let held = |failure: &&geranium_rig::soak::PlannedFailure| failure.kind.holds_process();
        let plan = FailurePlan::draw(seed, 120, 8);
        let all: Vec<_> = plan.failures.iter().filter(held).collect();
        for (index, one) in all.iter().enumerate() {
            for other in &all[index + 1..] {
                let same = one.kind.hits_backend() == other.kind.hits_backend()
                    && one
                        .targets
                        .iter()
                        .any(|target| other.targets.contains(target));
                let overlap = one.start_ms <= other.end_ms && other.start_ms <= one.end_ms;
                assert!(!(same && overlap), "seed {seed}: {one} and {other}");
            }
        }
    }
    assert!(FailureKind::NodeKill.holds_process());
}

// A node falls back while it runs: that is a breach, whatever the others have.
#[test]
fn a_version_that_falls_in_a_process_is_a_breach() {
    let mut sightings = VersionSightings::new(["a".to_owned(), "b".to_owned()]);
    sightings.see(0, "a", 1, 3);
    sightings.see(1, "a", 1, 2);
    assert_eq!(sightings.breaches().len(), 1);
    sightings.see(2, "a", 1, 0);
    assert_eq!(sightings.breaches().len(), 2);
}

// After a restart a node may serve by what was in force everywhere, and by
// nothing older; without a version it serves nobody.
#[test]
fn a_restarted_node_begins_where_the_fleet_was() {
    let mut sightings = VersionSightings::new(["a".to_owned(), "b".to_owned()]);
    sightings.see(0, "a", 1, 4);
    sightings.see(0, "b", 1, 3);
    assert_eq!(sightings.everywhere(), 3);
    sightings.see(1, "a", 2, 0);
    sightings.see(2, "a", 2, 3);
    assert_eq!(sightings.breaches(), []);
    sightings.see(3, "b", 2, 2);
    assert_eq!(sightings.breaches().len(), 1);
}
