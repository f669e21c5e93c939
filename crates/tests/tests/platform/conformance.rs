//! Both stores behave alike: the adapter against the stand-in, and the fake.

use std::{thread, time::Duration};

use geranium_platform::{
    CasAnswer, Endpoint, GatewaySettings, GatewayStore, LeaseAnswer, LeaseId, MemoryStore,
    PlatformError, PlatformStore, Revision, WatchAnswer, WriteEffect,
};
use geranium_standins::platform::{FaultPlan, FaultRequest, PlatformServer};

const WAIT: Duration = Duration::from_secs(5);
const NO_WAIT: Duration = Duration::from_millis(1);

pub fn gateway(server: &PlatformServer) -> GatewayStore {
    let mut settings = GatewaySettings::new([Endpoint::from(server.addr())]);
    settings.read_timeout = Duration::from_millis(300);
    GatewayStore::try_from(settings).unwrap()
}

pub fn start() -> PlatformServer {
    PlatformServer::start("127.0.0.1:0".parse().unwrap()).unwrap()
}

/// Shows only the faults that `plan` is given.
pub fn show(server: &PlatformServer, set: impl FnOnce(&mut FaultPlan)) {
    let mut request = FaultRequest::default();
    set(&mut request.plan);
    server.set_faults(&request);
}

fn both(check: impl Fn(&dyn PlatformStore)) {
    check(&MemoryStore::default());
    let server = start();
    check(&gateway(&server));
}

pub fn swap(store: &dyn PlatformStore, key: &str, expected: Revision, value: &[u8]) -> Revision {
    match store.compare_and_swap(key, expected, value, None).unwrap() {
        CasAnswer::Swapped { revision } => revision,
        CasAnswer::Conflict { current } => panic!("{key} is at {current:?}"),
    }
}

#[test]
fn reads_back_what_was_written() {
    both(|store| {
        assert_eq!(store.get("t/a").unwrap(), None);
        let value: Vec<u8> = (0..=255).collect();
        let revision = swap(store, "t/a", Revision::NONE, &value);
        let entry = store.get("t/a").unwrap().unwrap();
        assert_eq!((entry.value, entry.revision), (value, revision));
        assert!(swap(store, "t/a", revision, b"") > revision);
    });
}

#[test]
fn holds_a_megabyte() {
    both(|store| {
        let value = vec![7; 1_000_000];
        swap(store, "t/large", Revision::NONE, &value);
        assert!(store.get("t/large").unwrap().unwrap().value == value);
    });
}

#[test]
fn lists_a_prefix_in_key_order() {
    both(|store| {
        for key in ["t/b", "t/a", "u/c", "t", "t/a/z"] {
            swap(store, key, Revision::NONE, key.as_bytes());
        }
        let keys: Vec<_> = store
            .list("t/")
            .unwrap()
            .into_iter()
            .map(|entry| entry.key)
            .collect();
        assert_eq!(keys, ["t/a", "t/a/z", "t/b"]);
    });
}

#[test]
fn swaps_only_at_the_expected_revision() {
    both(|store| {
        let first = swap(store, "t/a", Revision::NONE, b"1");
        let second = swap(store, "t/a", first, b"2");
        for stale in [Revision::NONE, first, Revision::UNREACHABLE] {
            let answer = store.compare_and_swap("t/a", stale, b"3", None).unwrap();
            let CasAnswer::Conflict {
                current: Some(entry),
            } = answer
            else {
                panic!("{stale}: {answer:?}");
            };
            assert_eq!(
                (entry.value.as_slice(), entry.revision),
                (&b"2"[..], second)
            );
        }
        let absent = store.compare_and_swap("t/b", first, b"3", None).unwrap();
        assert_eq!(absent, CasAnswer::Conflict { current: None });
        assert_eq!(store.get_latest("t/b").unwrap(), None);
        assert_eq!(store.get_latest("t/a").unwrap().unwrap().revision, second);
    });
}

#[test]
fn one_of_many_racing_writers_wins_each_revision() {
    both(|store| {
        let won = thread::scope(|scope| {
            let racers: Vec<_> = (0_u8..8)
                .map(|racer| {
                    scope.spawn(move || {
                        let answer =
                            store.compare_and_swap("t/race", Revision::NONE, &[racer], None);
                        matches!(answer, Ok(CasAnswer::Swapped { .. }))
                    })
                })
                .collect();
            racers
                .into_iter()
                .filter_map(|racer| racer.join().unwrap().then_some(()))
                .count()
        });
        assert_eq!(won, 1);
    });
}

#[test]
fn a_watch_sees_what_already_happened() {
    both(|store| {
        let first = swap(store, "t/a", Revision::NONE, b"1");
        let second = swap(store, "t/a", first, b"2");
        let answer = store.watch("t/a", first, WAIT).unwrap();
        let WatchAnswer::Changed(entry) = answer else {
            panic!("{answer:?}");
        };
        assert_eq!(
            (entry.value.as_slice(), entry.revision),
            (&b"2"[..], second)
        );
        assert_eq!(
            store.watch("t/a", second, NO_WAIT).unwrap(),
            WatchAnswer::Unchanged
        );
        assert_eq!(
            store.watch("t/z", Revision::NONE, NO_WAIT).unwrap(),
            WatchAnswer::Unchanged
        );
    });
}

#[test]
fn a_waiting_watch_sees_only_its_own_key() {
    both(|store| {
        let answer = thread::scope(|scope| {
            let watch = scope.spawn(|| store.watch("t/a", Revision::NONE, WAIT).unwrap());
            swap(store, "t/other", Revision::NONE, b"no");
            swap(store, "t/a", Revision::NONE, b"yes");
            watch.join().unwrap()
        });
        assert!(matches!(answer, WatchAnswer::Changed(entry) if entry.value == b"yes"));
    });
}

#[test]
fn a_lease_takes_its_keys_with_it() {
    both(|store| {
        let lease = store.grant_lease(Duration::from_secs(60)).unwrap();
        assert!(matches!(
            store.keep_lease(lease).unwrap(),
            LeaseAnswer::Alive { .. }
        ));
        let answer = store
            .compare_and_swap("t/a", Revision::NONE, b"1", Some(lease))
            .unwrap();
        let CasAnswer::Swapped { revision } = answer else {
            panic!("{answer:?}");
        };
        store.revoke_lease(lease).unwrap();
        assert_eq!(store.get("t/a").unwrap(), None);
        let deleted = store.watch("t/a", revision, WAIT).unwrap();
        assert!(matches!(deleted, WatchAnswer::Deleted { revision: at } if at > revision));
        assert_eq!(store.keep_lease(lease).unwrap(), LeaseAnswer::Lapsed);
        store.revoke_lease(lease).unwrap();
    });
}

#[test]
fn a_write_under_an_unknown_lease_is_refused() {
    both(|store| {
        let answer = store.compare_and_swap("t/a", Revision::NONE, b"1", Some(LeaseId::new(99)));
        let error = answer.unwrap_err();
        assert!(matches!(error, PlatformError::LeaseLapsed { lease } if lease.get() == 99));
        assert_eq!(error.effect(), WriteEffect::NotWritten);
        assert_eq!(store.get("t/a").unwrap(), None);
    });
}
