//! Presets stored under a name.

use geranium_ctl::{CtlError, Patience, PresetCatalogue, WriteStamp};
use geranium_model::{ContentDigest, ResultCode, platform_keys};
use geranium_platform::{CallFault, MemoryStore, PlatformStore};

use crate::support::{PATIENCE, assert_content, name, prepared, preset, put};

fn edit(store: &MemoryStore, queue: u16, expected: ContentDigest) -> Result<(), CtlError> {
    let catalogue = PresetCatalogue::new(store, Patience::without_pause(PATIENCE));
    let stamp = WriteStamp::now("bera");
    catalogue
        .put(&name("peak"), &preset(queue), Some(expected), &stamp)
        .map(drop)
}

/// Story: two operators open the same preset and store their edits. The second
/// would undo the first one's without seeing it; with the digest that both
/// started from, the second is told who came first.
#[test]
fn an_edit_of_replaced_content_is_refused() {
    let store = prepared();
    let base = preset(20).digest();
    edit(&store, 21, base).unwrap();
    let error = edit(&store, 22, base).unwrap_err();
    assert_eq!(error.code(), ResultCode::LostRace);
    assert!(error.to_string().contains("stored by bera"), "{error}");
}

/// Story: the platform fails at any step of storing an edit. The name must
/// never stand for content that isn't there.
#[test]
fn a_name_never_stands_for_missing_content() {
    let faults = [
        CallFault::Refuse,
        CallFault::LoseAnswer,
        CallFault::LoseRequest,
    ];
    for (nth, fault) in (0..3).flat_map(|nth| faults.map(|fault| (nth, fault))) {
        let store = prepared();
        store.fail_call(nth, fault);
        let stored = put(&store, "peak", 77);
        let catalogue = PresetCatalogue::new(&store, Patience::without_pause(1));
        let pointer = catalogue.pointer(&name("peak")).unwrap();
        assert_content(&store, pointer.digest);
        let is_new = pointer.digest == preset(77).digest();
        assert_eq!(stored.is_ok(), is_new, "call {nth}, {fault:?}: {stored:?}");
    }
    for nth in 0..3 {
        let store = prepared();
        store.go_down_after(nth);
        let _outcome = put(&store, "peak", 77);
        store.come_up();
        let catalogue = PresetCatalogue::new(&store, Patience::without_pause(1));
        assert_content(&store, catalogue.pointer(&name("peak")).unwrap().digest);
    }
}

/// Story: a preset names content that was deleted from the platform by hand.
/// Showing or activating it must say so, rather than fail later on the nodes.
#[test]
fn missing_content_has_its_own_message() {
    let store = MemoryStore::default();
    let other = prepared();
    let key = platform_keys::preset(&name("peak"));
    let pointer = other.get(&key).unwrap().unwrap().value;
    store
        .compare_and_swap(&key, geranium_platform::Revision::NONE, &pointer, None)
        .unwrap();
    let catalogue = PresetCatalogue::new(&store, Patience::without_pause(1));
    let error = catalogue.preset(&name("peak")).unwrap_err();
    assert!(matches!(error, CtlError::MissingContent { .. }), "{error}");
    let error = catalogue.preset(&name("storm")).unwrap_err();
    assert_eq!(error.code(), ResultCode::PresetUnknown);
}
