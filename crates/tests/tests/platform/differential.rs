//! The fake and the adapter give the same answers to the same random calls.

use std::time::Duration;

use geranium_platform::{LeaseId, MemoryStore, PlatformStore, Revision};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::conformance::{gateway, start};

const SEEDS: u64 = 20;
const CALLS: u32 = 60;
const KEYS: [&str; 4] = ["t/a", "t/b", "t0", "u/a"];

/// Makes one call, drawn from `rng`, and describes its answer.
fn step(store: &dyn PlatformStore, rng: &mut StdRng) -> String {
    let key = KEYS[rng.random_range(0..KEYS.len())];
    let lease = LeaseId::new(rng.random_range(1..5));
    let expected = Revision::new(rng.random_range(0..12));
    let expected = if rng.random_bool(0.5) {
        let newest = store.get(key).unwrap();
        newest.map_or(Revision::NONE, |entry| entry.revision)
    } else {
        expected
    };
    match rng.random_range(0..8) {
        0 => format!("{:?}", store.grant_lease(Duration::from_secs(60)).unwrap()),
        1 => format!("{:?}", store.revoke_lease(lease).unwrap()),
        2 => format!(
            "{:?}",
            std::mem::discriminant(&store.keep_lease(lease).unwrap())
        ),
        3 => format!("{:?}", store.list("t/").unwrap()),
        4 => format!("{:?}", store.get_latest(key).unwrap()),
        draw => {
            let lease = (draw == 5).then_some(lease);
            let answer = store.compare_and_swap(key, expected, &[rng.random()], lease);
            answer.map_or_else(|error| error.to_string(), |answer| format!("{answer:?}"))
        }
    }
}

#[test]
fn the_fake_answers_as_the_adapter_does() {
    for seed in 0..SEEDS {
        let server = start();
        let (fake, adapter) = (MemoryStore::default(), gateway(&server));
        let mut draws = [StdRng::seed_from_u64(seed), StdRng::seed_from_u64(seed)];
        for call in 0..CALLS {
            let expected = step(&fake, &mut draws[0]);
            let found = step(&adapter, &mut draws[1]);
            assert_eq!(found, expected, "seed {seed}, call {call}");
        }
    }
}
