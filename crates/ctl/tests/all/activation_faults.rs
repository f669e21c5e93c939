//! Activations with a fault at each of their calls to the store in turn.

use geranium_ctl::{CtlError, RetrySchedule, activate, activation_history};
use geranium_node::{
    config::ConfigVersion,
    result_code::ResultCode,
    store::{MetaStore, ReadConsistency, StoreWrite},
};

use crate::support::{
    CallFault, MemoryStore, active_config, codec, document, put, put_in_force, request,
    store_with_presets, version, wait,
};

const FAULTS: [CallFault; 4] = [
    CallFault::Refuse,
    CallFault::LoseResponse,
    CallFault::LoseRequest,
    CallFault::ApplyLate,
];

fn calls_of_activation() -> u64 {
    let store = store_with_presets();
    let before = store.calls();
    put_in_force(&store, "peak").unwrap();
    store.calls() - before
}

/// Checks that the next activation works and that the history has every version.
fn assert_consistent(store: &MemoryStore, context: &str) {
    store.clear_faults();
    let before = version(store);
    let next = put_in_force(store, "ordinary-day").unwrap().record;
    assert_eq!(next.version.0, before.0 + 1, "{context}");
    let history = wait(activation_history(store, 256)).unwrap();
    let versions: Vec<_> = history.iter().map(|entry| entry.version.0).collect();
    let all: Vec<_> = (1..=next.version.0).collect();
    assert_eq!(versions, all, "{context}");
}

/// Guards against a report that doesn't match the store after one call of an activation is
/// refused, lost before or after it took effect, or applied late. "Activated" is reported only
/// if the preset is in force, "nothing was changed" only if it never will be.
#[test]
fn a_single_fault_is_reported_correctly() {
    for (nth, fault) in (0..calls_of_activation()).flat_map(|nth| FAULTS.map(|fault| (nth, fault)))
    {
        let context = format!("call {nth}, {fault:?}");
        let store = store_with_presets();
        store.fail_call(nth, fault);
        let outcome = put_in_force(&store, "peak");
        // Delayed writes are applied within the next two calls.
        version(&store);
        version(&store);
        match outcome {
            Ok(activation) => {
                assert_eq!(version(&store), activation.record.version, "{context}");
                assert_eq!(
                    active_config(&store).routes,
                    document(2.0).routes,
                    "{context}"
                );
            }
            Err(CtlError::Store { .. }) => {
                assert_eq!(version(&store), ConfigVersion(1), "{context}");
            }
            Err(other) => panic!("{context}: {other}"),
        }
        assert_consistent(&store, &context);
    }
}

/// Guards against a half-written configuration or a wrong report when the store becomes
/// unavailable in the middle of an activation. The report still holds after it recovers.
#[test]
fn an_outage_at_any_step_leaves_a_whole_configuration() {
    for nth in 0..calls_of_activation() {
        let context = format!("down from call {nth}");
        let store = store_with_presets();
        store.fail_from(nth);
        let outcome = put_in_force(&store, "peak");
        store.recover();
        let error = outcome.unwrap_err();
        assert_eq!(error.code(), ResultCode::StoreUnavailable, "{context}");
        assert_eq!(version(&store), ConfigVersion(1), "{context}");
        assert_consistent(&store, &context);
    }
}

/// Guards against a definite report when the response to the write is lost and the store is
/// unavailable afterwards, so that the outcome is unknown. Reporting a failure would make the
/// operator activate twice; reporting success could leave the fleet on the old preset.
#[test]
fn an_outage_after_a_lost_response_is_reported_as_unknown() {
    let write = calls_of_activation() - 1;
    for fault in [CallFault::LoseResponse, CallFault::LoseRequest] {
        let store = store_with_presets();
        store.fail_call(write, fault);
        store.fail_from(write + 1);
        let error = put_in_force(&store, "peak").unwrap_err();
        assert_eq!(error.code(), ResultCode::WriteUnknown, "{error}");
        store.recover();
        assert_consistent(&store, "after the outage");
    }
}

/// Guards against overwriting a version that the operator hasn't seen: with
/// `--expect-version 1`, an activation fails after another operator put version 2 in force.
#[test]
fn an_expected_version_that_passed_is_refused() {
    let store = store_with_presets();
    put_in_force(&store, "peak").unwrap();
    let mut late = request("ordinary-day", "bera");
    late.expect_version = Some(ConfigVersion(1));
    let retry_schedule = RetrySchedule::without_pause(1);
    let error = wait(activate(&store, codec(), &late, retry_schedule)).unwrap_err();
    assert_eq!(error.code(), ResultCode::LostRace);
    assert!(error.to_string().contains("by anna"), "{error}");
    assert_eq!(version(&store), ConfigVersion(2));
    late.expect_version = Some(ConfigVersion(2));
    wait(activate(&store, codec(), &late, retry_schedule)).unwrap();
}

/// Guards against activating a preset that nodes would refuse, after somebody wrote it to the
/// store without the client's checks.
#[test]
fn a_bad_preset_in_the_store_is_not_activated() {
    let store = store_with_presets();
    put(&store, "peak", 2.0).unwrap();
    let key = "geranium-operator/preset/peak";
    let item = wait(store.read(key, ReadConsistency::Linearizable))
        .unwrap()
        .item
        .unwrap();
    let text = String::from_utf8(item.value).unwrap();
    let bad = text.replace("\"prefix\":\"/verdskra/\"", "\"prefix\":\"verdskra\"");
    let write = [StoreWrite::put(key, bad.as_bytes(), item.revision)];
    wait(store.commit(&write)).unwrap();
    let error = put_in_force(&store, "peak").unwrap_err();
    assert_eq!(error.code(), ResultCode::PresetRefused);
    assert_eq!(version(&store), ConfigVersion(1));
}

/// Guards against a report that doesn't match the store after one call of storing a preset
/// fails.
#[test]
fn a_fault_while_storing_a_preset_is_reported_correctly() {
    for (nth, fault) in (0..2).flat_map(|nth| FAULTS.map(|fault| (nth, fault))) {
        let context = format!("call {nth}, {fault:?}");
        let store = store_with_presets();
        store.fail_call(nth, fault);
        let outcome = put(&store, "peak", 3.0);
        version(&store);
        version(&store);
        store.clear_faults();
        put_in_force(&store, "peak").unwrap();
        let stored = if outcome.is_ok() { 3.0 } else { 2.0 };
        let routes = document(stored).routes;
        assert_eq!(
            active_config(&store).routes,
            routes,
            "{context}: {outcome:?}"
        );
    }
}
