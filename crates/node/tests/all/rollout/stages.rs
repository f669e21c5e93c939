//! Stages of a rollout.

use std::time::Duration;

use geranium_node::rollout::{
    ComparisonSide, ComparisonVerdict, OrderState, RolloutInputs, RolloutPhase, RolloutRecord,
    RolloutStage, RunCounts, StageChange, StageStep, VersionComparison, WaitReason,
};

use super::record;
use crate::support::peer_addr;

const DURATION: Duration = Duration::from_secs(16);

/// Inputs of a rollout without a fault.
const SOUND: RolloutInputs = RolloutInputs {
    target_slots: 48,
    warm_target_slots: 48,
    target_servers: 4,
    current_slots: 48,
    verdict: ComparisonVerdict {
        is_bad: false,
        is_certain: true,
        is_suspicious: false,
        target_runs: 100,
        target_bad: 0,
        failing: 0,
        judged: 2,
    },
    is_drained: false,
    order: OrderState::Present,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn expect_change(step: StageStep) -> StageChange {
    match step {
        StageStep::Change(change) => change,
        StageStep::Wait(reason) => panic!("the rollout waits: {reason}"),
    }
}

/// Returns the stage of a rollout that was ordered at the start of the clock and is in a phase.
fn stage(phase: RolloutPhase, share: f64) -> RolloutStage {
    let record = RolloutRecord {
        share,
        ..record(1, phase)
    };
    RolloutStage::resume(Duration::ZERO, Duration::ZERO, &record).expect("the rollout goes on")
}

#[test]
fn a_sound_rollout_passes_all_stages_in_time() {
    let mut stage = RolloutStage::new(Duration::ZERO, DURATION);
    let mut known = record(1, RolloutPhase::Ordered);
    let mut phases = Vec::new();
    for tenth in 0..160 {
        let now = Duration::from_millis(tenth * 100);
        let inputs = RolloutInputs {
            is_drained: known.phase == RolloutPhase::Drain,
            ..SOUND
        };
        let StageStep::Change(change) = stage.next(now, &inputs) else {
            continue;
        };
        assert!(change.share >= known.share);
        phases.push(change.phase);
        known.phase = change.phase;
        known.share = change.share;
        match stage.enter(now, &known) {
            Some(next) => stage = next,
            None => break,
        }
    }
    let expected = [
        RolloutPhase::Canary,
        RolloutPhase::Ramp,
        RolloutPhase::Ramp,
        RolloutPhase::Drain,
        RolloutPhase::Completed,
    ];
    assert_eq!(phases, expected);
}

/// Guards against a rollout that is never answered, when no backend server of its version appears.
#[test]
fn a_version_without_servers_is_rolled_back() {
    let stage = RolloutStage::new(Duration::ZERO, DURATION);
    let inputs = RolloutInputs {
        target_slots: 0,
        target_servers: 0,
        ..SOUND
    };
    let waits = stage.next(seconds(20), &inputs);
    assert_eq!(waits, StageStep::Wait(WaitReason::NoServer));
    let change = expect_change(stage.next(seconds(33), &inputs));
    assert_eq!(change.phase, RolloutPhase::RolledBack);
}

/// Guards against moving traffic to fewer or cold backend servers than it needs.
#[test]
fn the_ramp_waits_for_warm_slots() {
    let stage = stage(RolloutPhase::Ramp, 0.5);
    let inputs = RolloutInputs {
        warm_target_slots: 30,
        ..SOUND
    };
    let waits = stage.next(seconds(10), &inputs);
    assert_eq!(waits, StageStep::Wait(WaitReason::TooFewSlots));
    let change = expect_change(stage.next(seconds(10), &SOUND));
    assert_eq!((change.phase, change.share), (RolloutPhase::Drain, 1.0));
}

/// Guards against condemning a version because the backend servers on trial have a fault of their
/// own.
#[test]
fn a_suspicious_trial_moves_to_other_servers() {
    let stage = stage(RolloutPhase::Canary, 0.06);
    let verdict = ComparisonVerdict {
        is_suspicious: true,
        failing: 2,
        ..SOUND.verdict
    };
    let inputs = RolloutInputs { verdict, ..SOUND };
    let change = expect_change(stage.next(seconds(3), &inputs));
    assert_eq!((change.phase, change.first), (RolloutPhase::Canary, 2));
    let moved = RolloutRecord {
        first: change.first,
        share: change.share,
        ..record(1, RolloutPhase::Canary)
    };
    let stage = stage.enter(seconds(3), &moved).expect("the trial goes on");
    let waits = stage.next(seconds(9), &inputs);
    assert_eq!(waits, StageStep::Wait(WaitReason::ServersFail));
}

/// Returns the verdict on two versions with two servers each, of which these shares of the runs fail.
fn compare(current_failures: u64, target_failures: u64) -> ComparisonVerdict {
    const ROUTE: u64 = 7;
    let mut comparison = VersionComparison::default();
    let observe = |comparison: &mut VersionComparison, side, number, failures| {
        let counts = RunCounts {
            runs: 10,
            failures,
            ..RunCounts::default()
        };
        comparison.observe(side, peer_addr(number), ROUTE, &counts);
    };
    for round in 0..6 {
        comparison.start_round();
        for number in [1, 2] {
            let failures = if round == 0 { 0 } else { current_failures };
            observe(&mut comparison, ComparisonSide::Current, number, failures);
        }
        for number in [11, 12] {
            observe(
                &mut comparison,
                ComparisonSide::Target,
                number,
                target_failures,
            );
        }
    }
    comparison.verdict(2, |_| true)
}

/// Guards against completing a bad version because the servers of the earlier one fail, too. A version
/// that works while the earlier one fails is moved in.
#[test]
fn a_trial_waits_while_both_versions_fail() {
    let both_fail = compare(8, 10);
    assert!(
        !both_fail.is_bad && both_fail.is_suspicious,
        "{both_fail:?}"
    );
    let inputs = RolloutInputs {
        verdict: both_fail,
        target_servers: 2,
        ..SOUND
    };
    for stage in [
        stage(RolloutPhase::Canary, 0.08),
        stage(RolloutPhase::Ramp, 0.25),
    ] {
        let waits = stage.next(seconds(10), &inputs);
        let stays = match &waits {
            StageStep::Wait(reason) => *reason == WaitReason::ServersFail,
            StageStep::Change(change) => change.share <= 0.25,
        };
        assert!(stays, "{waits:?}");
    }
    let mended = compare(8, 0);
    assert!(!mended.is_bad && !mended.is_suspicious, "{mended:?}");
    let worse = compare(0, 10);
    assert!(worse.is_bad, "{worse:?}");
}

/// Guards against condemning a good version in its trial when several of its backend servers happen to
/// have a fault of their own. A larger share leaves no time for more evidence.
#[test]
fn a_trial_goes_on_while_failures_may_be_chance() {
    let verdict = ComparisonVerdict {
        is_bad: true,
        is_certain: false,
        failing: 4,
        judged: 5,
        ..SOUND.verdict
    };
    let inputs = RolloutInputs { verdict, ..SOUND };
    let canary = stage(RolloutPhase::Canary, 0.06);
    let change = expect_change(canary.next(seconds(3), &inputs));
    assert_eq!((change.phase, change.first), (RolloutPhase::Canary, 2));
    let ramp = stage(RolloutPhase::Ramp, 0.25);
    let change = expect_change(ramp.next(seconds(3), &inputs));
    assert_eq!(change.phase, RolloutPhase::RolledBack);
}

/// Guards against completing a rollout while requests still run at the earlier version.
#[test]
fn completion_waits_until_nothing_runs() {
    let stage = stage(RolloutPhase::Drain, 1.0);
    let waits = stage.next(seconds(100), &SOUND);
    assert_eq!(waits, StageStep::Wait(WaitReason::NotDrained));
    let inputs = RolloutInputs {
        is_drained: true,
        ..SOUND
    };
    let change = expect_change(stage.next(seconds(100), &inputs));
    assert_eq!(change.phase, RolloutPhase::Completed);
}

/// Guards against a bad version, or a deleted order, that is noticed in one phase only.
#[test]
fn a_rollout_is_rolled_back_in_every_phase() {
    let verdict = ComparisonVerdict {
        is_bad: true,
        ..SOUND.verdict
    };
    let bad = RolloutInputs { verdict, ..SOUND };
    let cancelled = RolloutInputs {
        order: OrderState::Deleted,
        ..SOUND
    };
    for phase in [
        RolloutPhase::Ordered,
        RolloutPhase::Canary,
        RolloutPhase::Ramp,
        RolloutPhase::Drain,
    ] {
        for inputs in [bad, cancelled] {
            let change = expect_change(stage(phase, 0.5).next(seconds(1), &inputs));
            assert_eq!(
                (change.phase, change.share),
                (RolloutPhase::RolledBack, 0.0)
            );
        }
    }
}

/// Guards against a rollout that goes on, or is rolled back, while its deciding node doesn't know
/// whether the order is still in the store.
#[test]
fn a_rollout_waits_while_the_order_is_unknown() {
    let unknown = RolloutInputs {
        order: OrderState::Unknown,
        is_drained: true,
        ..SOUND
    };
    let verdict = ComparisonVerdict {
        is_bad: true,
        ..SOUND.verdict
    };
    let bad = RolloutInputs { verdict, ..unknown };
    for phase in [
        RolloutPhase::Ordered,
        RolloutPhase::Canary,
        RolloutPhase::Ramp,
        RolloutPhase::Drain,
    ] {
        for at in [seconds(1), DURATION * 3] {
            let step = stage(phase, 0.5).next(at, &unknown);
            assert_eq!(step, StageStep::Wait(WaitReason::OrderUnknown));
        }
        let change = expect_change(stage(phase, 0.5).next(seconds(1), &bad));
        assert_eq!(change.phase, RolloutPhase::RolledBack);
    }
}

/// Guards against a rollout that begins anew when its deciding node is restarted.
#[test]
fn a_resumed_trial_counts_the_time_before() {
    let record = RolloutRecord {
        share: 0.06,
        ..record(1, RolloutPhase::Canary)
    };
    let resumed = RolloutStage::resume(Duration::ZERO, seconds(8), &record);
    let stage = resumed.expect("the rollout goes on");
    let waits = stage.next(seconds(1), &SOUND);
    assert_eq!(waits, StageStep::Wait(WaitReason::TooShort));
    let change = expect_change(stage.next(seconds(2), &SOUND));
    assert_eq!(change.phase, RolloutPhase::Ramp);
}
