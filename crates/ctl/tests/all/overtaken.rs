//! Writes whose answer was lost, and others that came meanwhile.

use geranium_ctl::CtlError;
use geranium_model::ResultCode;
use geranium_platform::{CallFault, MemoryStore};

use crate::support::{in_force, prepared, put, put_in_force};

/// Loses the first write, then lets others activate before it is sent again.
fn overtaken(
    fault: CallFault,
    others: u32,
) -> (MemoryStore, Result<geranium_ctl::Activation, CtlError>) {
    let rivals = move |store: &MemoryStore| {
        for _ in 0..others {
            // Its own history entry, the last call, is left to its successor.
            store.fail_call(5, CallFault::Refuse);
            put_in_force(store, "ordinary-day").unwrap();
        }
    };
    let store = prepared();
    // Pointer, content, in-force, history of the replaced one, then the write.
    store.fail_call(4, fault);
    store.before_call(5, rivals);
    let outcome = put_in_force(&store, "peak");
    (store, outcome)
}

/// Story: the answer is lost after the write took effect, and before the
/// operator's client asks again, colleagues activate something else. Told "you
/// lost", the operator would miss that the fleet followed them for a while.
#[test]
fn an_activation_that_was_replaced_already_is_recognised() {
    for others in [1, 2] {
        let (store, outcome) = overtaken(CallFault::LoseAnswer, others);
        let activation = outcome.unwrap();
        assert_eq!(
            (activation.record.version.get(), activation.answered),
            (2, false)
        );
        assert_eq!(activation.replaced_by, Some(in_force(&store)));
    }
}

/// Story: the write itself is lost and colleagues activate meanwhile. Theirs is
/// the version that this one would have had, also when yet another followed.
#[test]
fn a_lost_request_that_others_overtook_has_lost() {
    for others in [1, 2] {
        let (_, outcome) = overtaken(CallFault::LoseRequest, others);
        assert_eq!(outcome.unwrap_err().code(), ResultCode::LostRace);
    }
}

/// Story: the same with the name of a preset: the answer is lost, a colleague
/// stores an edit, and the operator is told that the own one was there before.
#[test]
fn a_stored_preset_that_was_edited_already_is_recognised() {
    for (fault, expected) in [
        (CallFault::LoseAnswer, None),
        (CallFault::LoseRequest, Some(ResultCode::LostRace)),
    ] {
        let edit = |store: &MemoryStore| put(store, "peak", 99).unwrap();
        let store = prepared();
        // Pointer, content, then the write.
        store.fail_call(2, fault);
        store.before_call(3, edit);
        let outcome = put(&store, "peak", 50);
        assert_eq!(
            outcome.err().map(|error| error.code()),
            expected,
            "{fault:?}"
        );
    }
}

/// Story: the lost answer is followed by several edits. Which of them came
/// first can't be told any more, and the operator is told just that.
#[test]
fn several_edits_after_a_lost_answer_are_unknown() {
    let edits = |store: &MemoryStore| {
        put(store, "peak", 98).unwrap();
        put(store, "peak", 99).unwrap();
    };
    let store = prepared();
    store.fail_call(2, CallFault::LoseRequest);
    store.before_call(3, edits);
    let error = put(&store, "peak", 50).unwrap_err();
    assert_eq!(error.code(), ResultCode::WriteUnknown);
}
