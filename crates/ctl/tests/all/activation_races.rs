//! Concurrent activations by several operators, with faults of the store.

use std::{collections::HashMap, thread};

use geranium_ctl::{ActivationRequest, CtlError, RetrySchedule, activate, activation_history};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::support::{CallFault, MemoryStore, codec, request, store_with_presets, wait};

const SEEDS: u64 = 300;
const OPERATORS: u64 = 4;
const ROUNDS: u32 = 3;

#[derive(Debug, PartialEq)]
enum ReportedResult {
    Won(u64),
    NotActivated,
    Unknown,
}

fn activate_repeatedly(
    store: &MemoryStore,
    operator: u64,
) -> Vec<(ActivationRequest, ReportedResult)> {
    let rounds = (0..ROUNDS).map(|round| {
        let preset = ["ordinary-day", "peak"][round as usize % 2];
        let request = request(preset, &format!("operator-{operator}"));
        let retry_schedule = RetrySchedule::without_pause(4);
        let result = match wait(activate(store, codec(), &request, retry_schedule)) {
            Ok(activation) => ReportedResult::Won(activation.record.version.0),
            Err(CtlError::WriteUnknown { .. }) => ReportedResult::Unknown,
            Err(CtlError::NotActivated { .. } | CtlError::Store { .. }) => {
                ReportedResult::NotActivated
            }
            Err(other) => panic!("{other}"),
        };
        (request, result)
    });
    rounds.collect()
}

fn inject_faults(store: &MemoryStore, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..rng.random_range(0..12) {
        let fault = match rng.random_range(0..4) {
            0 => CallFault::Refuse,
            1 => CallFault::LoseResponse,
            2 => CallFault::LoseRequest,
            _ => CallFault::ApplyLate,
        };
        store.fail_call(rng.random_range(0..60), fault);
    }
}

/// Guards against two winners of one version, and against reports that don't match the
/// history, when four operators activate presets at the same time and responses get lost. An
/// activation reported as done is in the history under its version; one reported as not
/// activated isn't in the history.
#[test]
fn exactly_one_operator_wins_each_version() {
    for seed in 0..SEEDS {
        let store = store_with_presets();
        inject_faults(&store, seed);
        let results: Vec<_> = thread::scope(|scope| {
            let threads = (0..OPERATORS).map(|operator| {
                let store = &store;
                scope.spawn(move || activate_repeatedly(store, operator))
            });
            let threads: Vec<_> = threads.collect();
            let results = threads
                .into_iter()
                .flat_map(|handle| handle.join().unwrap());
            results.collect()
        });
        check_history(&store, &results, seed);
    }
}

fn check_history(store: &MemoryStore, results: &[(ActivationRequest, ReportedResult)], seed: u64) {
    store.clear_faults();
    // Delayed writes are applied within the next two calls.
    for _ in 0..3 {
        wait(activation_history(store, 256)).unwrap();
    }
    let history = wait(activation_history(store, 256)).unwrap();
    let versions: Vec<_> = history.iter().map(|entry| entry.version.0).collect();
    let contiguous: Vec<_> = (1..=versions.len() as u64).collect();
    assert_eq!(versions, contiguous, "seed {seed}");
    let by_write_id: HashMap<_, _> = history
        .iter()
        .map(|entry| (entry.stamp.write_id.clone(), entry.version.0))
        .collect();
    assert_eq!(
        by_write_id.len(),
        history.len(),
        "seed {seed}: a write is in the history twice"
    );
    for (request, result) in results {
        let found = by_write_id.get(&request.stamp.write_id).copied();
        match result {
            ReportedResult::Won(version) => assert_eq!(found, Some(*version), "seed {seed}"),
            ReportedResult::NotActivated => assert_eq!(found, None, "seed {seed}"),
            ReportedResult::Unknown => {}
        }
    }
}
