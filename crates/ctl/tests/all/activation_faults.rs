//! Activations that break at each of their steps in turn.

use geranium_ctl::{CtlError, activation_history};
use geranium_model::{PresetVersion, ResultCode};
use geranium_platform::{CallFault, MemoryStore, PlatformStore};

use crate::support::{assert_content, in_force, prepared, put, put_in_force, request};

fn calls_of(operation: impl Fn(&MemoryStore)) -> u64 {
    let store = prepared();
    let before = store.calls();
    operation(&store);
    store.calls() - before
}

/// Checks what holds whatever happened, and that the next activation works.
fn assert_sound(store: &MemoryStore, context: &str) {
    let record = in_force(store);
    assert_content(store, record.digest);
    let next = put_in_force(store, "ordinary-day").unwrap().record;
    assert_eq!(next.version, record.version.next(), "{context}");
    let history = activation_history(store, u64::MAX).unwrap();
    let versions: Vec<_> = history.iter().map(|entry| entry.version.get()).collect();
    assert_eq!(
        versions,
        (1..=next.version.get()).collect::<Vec<_>>(),
        "{context}"
    );
}

/// Story: one call of an activation fails: refused, or lost before or after it
/// took effect, or late. The operator is told what holds: "activated" only if
/// it is in force, "nothing was changed" only if it never will be.
#[test]
fn any_single_fault_is_told_truthfully() {
    let faults = [
        CallFault::Refuse,
        CallFault::LoseAnswer,
        CallFault::LoseRequest,
        CallFault::LandLate,
    ];
    let calls = calls_of(|store| drop(put_in_force(store, "peak").unwrap()));
    for (nth, fault) in (0..calls).flat_map(|nth| faults.map(|fault| (nth, fault))) {
        let context = format!("call {nth}, {fault:?}");
        let store = prepared();
        store.fail_call(nth, fault);
        let outcome = put_in_force(&store, "peak");
        // Late writes land within the next two calls.
        in_force(&store);
        in_force(&store);
        let record = in_force(&store);
        match outcome {
            Ok(activation) => assert_eq!(record, activation.record, "{context}"),
            Err(CtlError::Platform { .. }) => {
                assert_eq!(record.version, PresetVersion::new(1), "{context}");
            }
            Err(other) => panic!("{context}: {other}"),
        }
        assert_sound(&store, &context);
    }
}

/// Story: the platform goes down in the middle of an activation and comes back
/// an hour later. At no step may the record in force name content that isn't
/// there, and what the operator was told still holds.
#[test]
fn an_outage_at_any_step_leaves_a_whole_record() {
    let calls = calls_of(|store| drop(put_in_force(store, "peak").unwrap()));
    for nth in 0..calls {
        let context = format!("down from call {nth}");
        let store = prepared();
        store.go_down_after(nth);
        let outcome = put_in_force(&store, "peak");
        store.come_up();
        let version = in_force(&store).version.get();
        match outcome {
            Ok(_) => assert_eq!(version, 2, "{context}"),
            Err(error) => {
                assert_eq!(error.code(), ResultCode::PlatformUnavailable, "{context}");
                assert_eq!(version, 1, "{context}");
            }
        }
        assert_sound(&store, &context);
    }
}

/// Story: the answer to the write is lost and the platform is gone after it.
/// Nobody can know what holds; saying "failed" would make the operator activate
/// twice, saying "done" would leave the fleet on the old preset.
#[test]
fn an_outage_after_a_lost_answer_is_unknown() {
    // The write is the one before the last: the history entry follows it.
    let calls = calls_of(|store| drop(put_in_force(store, "peak").unwrap()));
    for fault in [CallFault::LoseAnswer, CallFault::LoseRequest] {
        let store = prepared();
        store.fail_call(calls - 2, fault);
        store.go_down_after(calls - 1);
        let error = put_in_force(&store, "peak").unwrap_err();
        assert_eq!(error.code(), ResultCode::WriteUnknown, "{error}");
        store.come_up();
        assert_sound(&store, "after the outage");
    }
}

/// Story: an operator's reads come from a replica that lags by an hour, during
/// which others activated and edited presets. The next activation must neither
/// repeat a version nor bring replaced content back.
#[test]
fn stale_reads_neither_repeat_a_version_nor_revive_content() {
    let store = prepared();
    store.freeze_reads();
    for round in 0..3 {
        put(&store, "peak", 30 + round).unwrap();
        let record = put_in_force(&store, "peak").unwrap().record;
        assert_eq!(record.version.get(), u64::from(round) + 2);
        assert_eq!(record.digest, crate::support::preset(30 + round).digest());
    }
    let seen = activation_history(&store, 3).unwrap();
    let versions: Vec<_> = seen.iter().map(|entry| entry.version.get()).collect();
    assert_eq!(versions, [2, 3, 4]);
    store.thaw_reads();
    assert_sound(&store, "after the lag");
}

/// Story: an operator decided by version 1, and somebody else put version 2 in
/// force meanwhile. With `--expect-version 1` nothing is overwritten unseen.
#[test]
fn an_expected_version_that_passed_is_refused() {
    let store = prepared();
    put_in_force(&store, "peak").unwrap();
    let mut late = request("ordinary-day", "bera");
    late.expect_version = Some(PresetVersion::new(1));
    let patience = geranium_ctl::Patience::without_pause(1);
    let error = geranium_ctl::activate(&store, &late, patience).unwrap_err();
    assert_eq!(error.code(), ResultCode::LostRace);
    assert_eq!(in_force(&store).version.get(), 2);
    late.expect_version = Some(PresetVersion::new(2));
    geranium_ctl::activate(&store, &late, patience).unwrap();
}

/// Story: somebody wrote to the platform past the client: content that doesn't
/// fit its digest, or isn't a good preset. It must not be put in force.
#[test]
fn bad_content_in_the_platform_is_not_activated() {
    let store = prepared();
    let good = crate::support::preset(20);
    let key = geranium_model::platform_keys::content(good.digest());
    let entry = store.get(&key).unwrap().unwrap();
    store
        .compare_and_swap(&key, entry.revision, b"{}", None)
        .unwrap();
    let error = put_in_force(&store, "peak").unwrap_err();
    assert_eq!(error.code(), ResultCode::PresetDigestMismatch);
    assert_eq!(in_force(&store).version.get(), 1);
}
