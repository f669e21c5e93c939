//! Starts of backend servers under the same and different identifiers.

use std::time::Duration;

use geranium_node::{
    crash::{CrashHistory, CrashRecord},
    member::{EndpointStart, FleetView, MemberRecord, StartInput, StartOrder, VersionFilter},
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

/// Guards against counting several crashes under one identifier as one crash.
#[test]
fn each_crash_of_an_identifier_counts() {
    let mut history = CrashHistory::default();
    for crash in 0..2 {
        assert_eq!(history.refusal(NOW, 7), None, "after {crash} crashes");
        let crash_record = CrashRecord {
            fingerprint: 7,
            start: born("i-1", 1_000 * (crash + 1)),
            completions: 0,
        };
        assert!(history.record(NOW, crash_record, Revision(crash + 1)));
    }
    assert!(history.refusal(NOW, 7).is_some());
}

/// Guards against ejecting a member for failures of an earlier start. It crashes and comes
/// back under the same identifier.
#[test]
fn evidence_ends_with_the_start() {
    let mut fleet = FleetView::new("hofdi");
    fleet.announce(NOW, record(born("i-1", 1_000)), Revision(1));
    let key = fleet
        .key_of(record(start("i-1")).peer_addr)
        .expect("the member is announced");
    fleet.record_try_outcome(NOW, key, geranium_node::member::TryOutcome::Unreachable);
    let query = geranium_node::member::PickQuery {
        service: "prices",
        route_hash: 7,
        target_latency: Duration::from_millis(400),
        tried: &[],
        probed: &[],
        response_bytes: 400,
        versions: VersionFilter::ANY,
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
    /// Guards against an order in which each of two starts is later than the other.
    #[test]
    fn order_is_the_same_from_both_sides(a in any_input(), b in any_input()) {
        let a = EndpointStart::try_from(a).expect("a valid start");
        let b = EndpointStart::try_from(b).expect("a valid start");
        let mirrored = match b.order(&a) {
            StartOrder::Earlier => StartOrder::Later,
            StartOrder::Later => StartOrder::Earlier,
            same => same,
        };
        prop_assert_eq!(a.order(&b), mirrored);
    }

    /// Guards against panics on bytes that another writer stored in place of an announcement
    /// or of crash records.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _record = serde_json::from_slice::<MemberRecord>(&bytes);
        let _records = serde_json::from_slice::<Vec<CrashRecord>>(&bytes);
    }

    /// Guards against accepting an announcement in which a field is missing or of another
    /// type. Only the time of the start may be missing.
    #[test]
    fn a_damaged_announcement_is_refused(field in 0_usize..9, of_type in 0_usize..4) {
        let whole = serde_json::to_value(record(born("i-1", 1_000))).expect("a serialisable record");
        let mut fields = whole.as_object().expect("a JSON object").clone();
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

    /// Guards against accepting an identifier that doesn't fit in a header or in a key of the
    /// store.
    #[test]
    fn identifiers_are_read_or_refused(instance in any::<String>()) {
        let input = StartInput { instance, born_ms: None };
        if let Ok(start) = EndpointStart::try_from(input) {
            prop_assert!(http::HeaderValue::from_str(start.instance()).is_ok());
            prop_assert!((1..=128).contains(&start.instance().len()));
        }
    }
}
