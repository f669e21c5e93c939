//! What names a start of a backend server.

use std::time::Duration;

use geranium_node::{
    crash::{CrashHistory, CrashRecord},
    member::{EndpointStart, FleetView, MemberRecord, StartInput, StartOrder},
    store::Revision,
};
use proptest::prelude::*;

use crate::support::{self, born, start};

const NOW: Duration = Duration::from_secs(1);

fn record(start: EndpointStart) -> MemberRecord {
    MemberRecord {
        start,
        ..support::record(4)
    }
}

/// Guards against counting several crashes under one identifier as one.
#[test]
fn each_crash_of_an_identifier_counts() {
    let mut book = CrashHistory::default();
    for crash in 0..2 {
        assert_eq!(book.refusal(NOW, 7), None, "after {crash} crashes");
        let row = CrashRecord {
            fingerprint: 7,
            start: born("i-1", 1_000 * (crash + 1)),
        };
        assert!(book.record(NOW, row, Revision(crash + 1)));
    }
    assert!(book.refusal(NOW, 7).is_some());
}

/// A member fails its requests, crashes and comes back under its identifier.
/// What was held against it before isn't held against the next start.
#[test]
fn evidence_ends_with_the_start() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(born("i-1", 1_000)), Revision(1));
    let key = fleet
        .key_of(record(start("i-1")).peer_addr)
        .expect("announced");
    fleet.record_try_outcome(NOW, key, geranium_node::member::TryOutcome::Unreachable);
    let query = geranium_node::member::PickQuery {
        service: "prices",
        route_hash: 7,
        target: Duration::from_millis(400),
        tried: &[],
        probed: &[],
        response_bytes: 400,
    };
    assert!(!fleet.has_available(NOW, &query));
    fleet.announce(NOW, record(born("i-1", 9_000)), Revision(2));
    assert!(fleet.has_available(NOW, &query));
}

fn any_input() -> impl Strategy<Value = StartInput> {
    let born_ms = proptest::option::of(0..4_u64);
    (0..3_u8, born_ms).prop_map(|(number, born_ms)| StartInput {
        instance: format!("i-{number}"),
        born_ms,
    })
}

proptest! {
    /// Two nodes that compare the same starts never call both of them later.
    #[test]
    fn order_is_the_same_from_both_sides(a in any_input(), b in any_input()) {
        let a = EndpointStart::try_from(a).expect("usable");
        let b = EndpointStart::try_from(b).expect("usable");
        let mirrored = match b.order(&a) {
            StartOrder::Earlier => StartOrder::Later,
            StartOrder::Later => StartOrder::Earlier,
            same => same,
        };
        prop_assert_eq!(a.order(&b), mirrored);
    }

    /// Another writer's bytes in place of an announcement or a crash: they are
    /// refused or read, and never stop the node.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _record = serde_json::from_slice::<MemberRecord>(&bytes);
        let _rows = serde_json::from_slice::<Vec<CrashRecord>>(&bytes);
    }

    /// An announcement with a field missing or of another type names nobody. What
    /// may be missing is the time of the start.
    #[test]
    fn a_damaged_announcement_is_refused(field in 0_usize..9, of_type in 0_usize..4) {
        let whole = serde_json::to_value(record(born("i-1", 1_000))).expect("it is text");
        let mut fields = whole.as_object().expect("it has fields").clone();
        let mut required = fields.keys().filter(|name| *name != "born_ms");
        let name = required.nth(field).expect("nine fields").clone();
        match of_type {
            0 => drop(fields.remove(&name)),
            1 => drop(fields.insert(name, serde_json::json!([1, "x"]))),
            2 => drop(fields.insert(name, serde_json::Value::Null)),
            _ => drop(fields.insert(name, serde_json::json!(-1.5))),
        }
        prop_assert!(serde_json::from_value::<MemberRecord>(fields.into()).is_err());
    }

    /// Identifiers come from others: they are read or refused, and what is read
    /// fits in a header and in a key of the store.
    #[test]
    fn identifiers_are_read_or_refused(instance in any::<String>()) {
        let input = StartInput { instance, born_ms: None };
        if let Ok(start) = EndpointStart::try_from(input) {
            prop_assert!(http::HeaderValue::from_str(start.instance()).is_ok());
            prop_assert!((1..=128).contains(&start.instance().len()));
        }
    }
}
