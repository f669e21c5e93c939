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
        plain: false,
        without_last: true,
        plan: false,
        lines: None,
    }
}

async fn holds_for_seed(seed: u64) {
    let held = run_soak(&options(seed)).await;
    assert!(held.expect("the fleet starts"), "seed {seed}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_promise_holds_for_seed_1() {
    holds_for_seed(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_promise_holds_for_seed_2() {
    holds_for_seed(2).await;
}

/// Guards against refusing requests that ran beside several others that crash servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_beside_several_crashing_ones_are_served() {
    let options = SoakOptions {
        seconds: 15,
        nodes: 8,
        without_last: false,
        ..options(505)
    };
    let held = run_soak(&options).await;
    assert!(held.expect("the fleet starts"), "seed 505");
}

/// The seed whose run showed it, on a fleet of the size at which it did.
async fn holds_on_plain_plan(seed: u64) {
    let options = SoakOptions {
        seconds: 20,
        nodes: 12,
        rate: 15.0,
        plain: true,
        ..options(seed)
    };
    let held = run_soak(&options).await;
    assert!(held.expect("the fleet starts"), "seed {seed}");
}

/// Nodes that were told to stop ended, on a busy machine, before their ports had
/// accepted what waited: new callers were reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_stalled_node_that_ends_are_answered() {
    holds_on_plain_plan(109).await;
}

/// A backend server's leaving was acknowledged while its node was told to stop;
/// the next process counted the time for work on its way anew. Judged in time
/// only by hand: `geranium-rig soak --seed 116 --timed`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_outlives_a_restart_in_a_series_of_faults() {
    holds_on_plain_plan(116).await;
}

/// An announcement was dropped from the store while its node's watch was silent
/// for good. A node that had restarted since told it the news after the drop, and
/// the drop itself was lost: two nodes never came back into the list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drop_that_nobody_saw_is_noticed() {
    holds_on_plain_plan(135).await;
}

/// Three nodes were told to stop just before the last fault ended. They still ran when
/// the soak looked whether every node does, stopped seconds later, and were never started
/// again: the fleet didn't recover. Cause: the soak's own; their logs end with `stopped`,
/// and an earlier version of the node does the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_told_to_stop_near_the_end_are_started_again() {
    let options = SoakOptions {
        seconds: 15,
        nodes: 8,
        ..options(505)
    };
    let held = run_soak(&options).await;
    assert!(held.expect("the fleet starts"), "seed 505");
}
