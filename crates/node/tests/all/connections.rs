//! Bound on the open connections of callers.

use geranium_node::connections::{Admission, ConnectionKey, ConnectionTable};

/// Largest number of open connections.
const MAX_OPEN: usize = 10;

fn accepted(table: &mut ConnectionTable) -> ConnectionKey {
    match table.admit() {
        Admission::Accepted(key) => key,
        other => panic!("there is room: {other:?}"),
    }
}

/// Guards against new callers that are turned away while connections are idle.
#[test]
fn the_connection_that_is_idle_for_the_longest_time_closes_first() {
    let mut table = ConnectionTable::new(MAX_OPEN);
    let open: Vec<ConnectionKey> = (0..MAX_OPEN).map(|_| accepted(&mut table)).collect();
    for &key in &open {
        table.set_busy(key);
    }
    assert_eq!(table.admit(), Admission::Full);
    table.set_idle(open[7]);
    table.set_idle(open[2]);
    for expected in [open[7], open[2]] {
        let Admission::InPlaceOf { key, idle } = table.admit() else {
            panic!("a connection is idle");
        };
        assert_eq!(idle, expected);
        table.set_busy(key);
    }
    assert_eq!(table.admit(), Admission::Full);
}

/// Guards against a connection that closes and is counted as open, or is closed twice.
#[test]
fn a_connection_that_closes_leaves_its_place_once() {
    let mut table = ConnectionTable::new(1);
    let first = accepted(&mut table);
    let Admission::InPlaceOf { key, idle } = table.admit() else {
        panic!("the first connection is idle");
    };
    assert_eq!(idle, first);
    table.set_busy(key);
    // A request crosses the close.
    table.set_busy(first);
    table.set_idle(first);
    assert_eq!(table.admit(), Admission::Full);
    table.remove(first);
    assert_eq!(table.admit(), Admission::Full);
    table.remove(key);
    accepted(&mut table);
}
