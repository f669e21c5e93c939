//! Short seeded soaks, and seeds that once found a fault.

use geranium_rig::soak::{SoakOptions, run_soak};

/// A run small enough for any machine, judged without time bounds.
fn options(seed: u64) -> SoakOptions {
    SoakOptions {
        seed,
        runs: 1,
        seconds: 8,
        nodes: 6,
        rate: 8.0,
        timed: false,
        plan: false,
        lines: None,
    }
}

async fn holds(seed: u64) {
    let held = run_soak(&options(seed)).await;
    assert!(held.expect("the fleet starts"), "seed {seed}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_promise_holds_for_seed_1() {
    holds(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_promise_holds_for_seed_2() {
    holds(2).await;
}
