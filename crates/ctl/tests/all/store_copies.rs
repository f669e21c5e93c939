//! Activations after the store was restored from an older copy of its data.

use geranium_ctl::activation_history;
use geranium_node::store::StoreEra;

use crate::support::{put_in_force, store_with_presets, version, wait};

/// Guards against a version that nodes refuse because they already have a higher one, which
/// the store has lost.
#[test]
fn the_next_version_is_above_those_that_were_lost() {
    let store = store_with_presets();
    put_in_force(&store, "peak").unwrap();
    let copy = store.copy();
    let lost = put_in_force(&store, "ordinary-day").unwrap().record;
    store.restore_from(copy);
    assert!(version(&store) < lost.version);
    let next = put_in_force(&store, "ordinary-day").unwrap().record;
    assert!(next.version > lost.version, "{next:?} after {lost:?}");
    assert_eq!((lost.era, next.era), (StoreEra(0), StoreEra(1)));
    let after = put_in_force(&store, "peak").unwrap().record;
    assert_eq!(after.version.0, next.version.0 + 1);
    let history = wait(activation_history(&store, 256)).unwrap();
    let eras: Vec<u32> = history.iter().map(|entry| entry.era.0).collect();
    assert_eq!(eras, [0, 0, 1, 1]);
}
