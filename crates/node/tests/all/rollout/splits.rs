//! Division of requests between two versions.

use std::time::Duration;

use geranium_node::rollout::{SplitDecision, TrafficSplit};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

const NOW: Duration = Duration::from_secs(1);

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a share that grows with the number of nodes, or with their restarts.
    #[test]
    fn the_share_of_the_fleet_holds_whatever_restarts(
        seed in any::<u64>(),
        nodes in 1..80usize,
        restart_every in 5..200usize,
        share in 0.01..0.5f64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut sent, mut exposed) = (0.0, 0.0);
        let mut splits: Vec<TrafficSplit> = Vec::new();
        splits.resize_with(nodes, TrafficSplit::default);
        for _ in 0..4_000 {
            let split = &mut splits[rng.random_range(0..nodes)];
            if rng.random_range(0..restart_every) == 0 {
                *split = TrafficSplit::default();
            }
            let route = rng.random_range(0..3);
            let decision = split.decide(NOW, share, route, rng.random());
            sent += 1.0;
            exposed += f64::from(u8::from(decision != SplitDecision::Current));
        }
        // Six standard deviations of as many independent draws.
        let tolerance = 6.0 * (sent * share * (1.0 - share)).sqrt();
        prop_assert!(exposed <= sent * share + tolerance, "{exposed} of {sent}");
        prop_assert!(exposed >= sent * share - tolerance, "{exposed} of {sent}");
    }
}

/// Guards against a seldom used route that is never tried.
#[test]
fn each_route_has_the_share() {
    let mut split = TrafficSplit::default();
    for route in 0..4 {
        let decisions = (0..200).map(|_| split.decide(NOW, 0.05, route, 0.5));
        let exposed = decisions.filter(|decision| *decision != SplitDecision::Current);
        assert_eq!(exposed.count(), 10);
    }
}

/// Guards against sending on to a version that fails this node's own requests, until another node
/// says so.
#[test]
fn own_failures_stop_a_node_at_once() {
    let mut split = TrafficSplit::default();
    assert!(!split.record_target(NOW, true));
    assert!(!split.record_target(NOW, true));
    assert!(split.record_target(NOW, true));
    let mut exposed = |now| {
        let decisions = (0..10).map(|_| split.decide(now, 0.5, 1, 0.5));
        let exposed = decisions.filter(|decision| *decision != SplitDecision::Current);
        exposed.count()
    };
    assert_eq!(exposed(NOW + Duration::from_secs(2)), 0);
    assert_eq!(exposed(NOW + Duration::from_secs(4)), 5);
}
