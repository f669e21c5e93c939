//! What the adapter makes of a platform that fails.

use std::{net::TcpListener, thread, time::Duration};

use geranium_model::ResultCode;
use geranium_platform::{
    Endpoint, GatewaySettings, GatewayStore, PlatformError, PlatformStore, Revision, WatchAnswer,
    WriteEffect,
};
use geranium_standins::platform::{DownMode, FaultRequest};

use crate::conformance::{gateway, show, start, swap};

fn create(store: &GatewayStore, key: &str) -> Result<(), PlatformError> {
    store
        .compare_and_swap(key, Revision::NONE, b"1", None)
        .map(drop)
}

/// An address where nobody listens: bound once, so that it is free.
fn closed_endpoint() -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().into()
}

/// Story: an operator activates a preset while the platform process is gone.
/// Its connection is refused, and the operator may be told for certain that
/// nothing was written.
#[test]
fn a_refused_connection_certainly_wrote_nothing() {
    let settings = GatewaySettings::new([closed_endpoint()]);
    let store = GatewayStore::try_from(settings).unwrap();
    let error = create(&store, "t/a").unwrap_err();
    assert_eq!(error.effect(), WriteEffect::NotWritten, "{error}");
    assert_eq!(error.code(), ResultCode::PlatformUnavailable);
}

/// Story: the write takes effect and the connection breaks before the answer.
/// Whoever reports "failed" lies: the entry is there. With two endpoints a
/// second send would conflict with the own first one.
#[test]
fn a_lost_answer_is_unknown_and_not_sent_again() {
    let server = start();
    let endpoint = Endpoint::from(server.addr());
    let store = GatewayStore::try_from(GatewaySettings::new([endpoint, endpoint])).unwrap();
    show(&server, |plan| plan.lose_write_answers = 1);
    // Changes nothing, so its answer isn't one of those to lose.
    assert_eq!(store.get_latest("t/a").unwrap(), None);
    let error = create(&store, "t/a").unwrap_err();
    assert!(matches!(error, PlatformError::AnswerLost { .. }), "{error}");
    assert_eq!(error.effect(), WriteEffect::Unknown);
    assert!(store.get("t/a").unwrap().is_some());
    assert_eq!(server.counts().totals.write, 2);
}

/// Story: the platform is overloaded and answers 503, or drops connections.
/// A gateway also answers 503 when it gave up waiting for a write, so neither
/// may be taken for "not written".
#[test]
fn a_platform_that_is_down_leaves_writes_unknown() {
    let server = start();
    let store = gateway(&server);
    for mode in [DownMode::Unavailable, DownMode::Drop] {
        show(&server, |plan| plan.down = Some(mode));
        let error = create(&store, "t/a").unwrap_err();
        assert_eq!(error.effect(), WriteEffect::Unknown, "{error}");
        assert_eq!(error.code(), ResultCode::PlatformUnavailable);
        assert_eq!(
            store.get("t/a").unwrap_err().code(),
            ResultCode::PlatformUnavailable
        );
    }
    show(&server, |_| {});
    create(&store, "t/a").unwrap();
}

/// Story: the platform hangs. The caller's thread comes back after the read
/// timeout with an error, and the write lands later.
#[test]
fn a_hanging_platform_times_out_as_unknown() {
    let server = start();
    let store = gateway(&server);
    show(&server, |plan| plan.slow_ms = 1_000);
    let error = create(&store, "t/a").unwrap_err();
    assert_eq!(error.effect(), WriteEffect::Unknown, "{error}");
}

/// Story: the fleet asks more than the platform allows. It answers 429 before
/// it looks at a call, so the write certainly didn't happen, and the next
/// endpoint isn't asked at once, which would only add to the load.
#[test]
fn a_call_over_the_rate_is_refused_and_not_sent_on() {
    let server = start();
    let endpoint = Endpoint::from(server.addr());
    let store = GatewayStore::try_from(GatewaySettings::new([endpoint, endpoint])).unwrap();
    let none = Some(0);
    show(&server, |plan| {
        plan.reads_per_second = none;
        plan.writes_per_second = none;
    });
    let error = create(&store, "t/a").unwrap_err();
    assert_eq!(error.effect(), WriteEffect::NotWritten, "{error}");
    assert!(store.get("t/a").is_err());
    let totals = server.counts().totals;
    assert_eq!((totals.read, totals.write, totals.refused), (1, 1, 2));
}

/// Story: one of the platform's instances is gone. Reads and writes go on
/// through the other one.
#[test]
fn the_next_endpoint_answers_when_one_is_gone() {
    let server = start();
    let endpoints = [closed_endpoint(), Endpoint::from(server.addr())];
    let store = GatewayStore::try_from(GatewaySettings::new(endpoints)).unwrap();
    create(&store, "t/a").unwrap();
    assert!(store.get("t/a").unwrap().is_some());
}

/// Story: an operator reads right after another one's write, from a replica
/// that lags. The plain read shows the old value; the one through a
/// compare-and-swap must not.
#[test]
fn the_latest_entry_is_read_although_reads_are_stale() {
    let server = start();
    let store = gateway(&server);
    show(&server, |plan| plan.stale_reads_ms = 60_000);
    let revision = swap(&store, "t/a", Revision::NONE, b"new");
    assert_eq!(store.get("t/a").unwrap(), None);
    assert_eq!(store.get_latest("t/a").unwrap().unwrap().revision, revision);
}

/// Story: the platform restarts while a node waits on a watch. A cut watch
/// that looked like "nothing changed" would hide that the node is deaf.
#[test]
fn a_cut_watch_is_an_error() {
    let server = start();
    let store = gateway(&server);
    let answer = thread::scope(|scope| {
        let watch = scope.spawn(|| store.watch("t/a", Revision::NONE, Duration::from_secs(20)));
        while server.counts().waiting_watches == 0 {
            thread::yield_now();
        }
        server.set_faults(&FaultRequest {
            cut_watches: true,
            ..FaultRequest::default()
        });
        watch.join().unwrap()
    });
    assert!(
        matches!(answer, Err(PlatformError::AnswerLost { .. })),
        "{answer:?}"
    );
}

/// Story: a holder is paused longer than its lease lives. Its key goes away
/// without its doing, a watcher sees that, and its write under the lapsed
/// lease is refused.
#[test]
fn a_lapsed_lease_deletes_its_key_and_refuses_writes() {
    let server = start();
    let store = gateway(&server);
    let lease = store.grant_lease(Duration::from_secs(60)).unwrap();
    store
        .compare_and_swap("t/a", Revision::NONE, b"1", Some(lease))
        .unwrap();
    let held = store.get("t/a").unwrap().unwrap();
    let lapse_lease = Some(lease.get());
    server.set_faults(&FaultRequest {
        lapse_lease,
        ..FaultRequest::default()
    });
    let seen = store
        .watch("t/a", held.revision, Duration::from_secs(5))
        .unwrap();
    assert!(matches!(seen, WatchAnswer::Deleted { .. }));
    let late = store.compare_and_swap("t/a", Revision::NONE, b"2", Some(lease));
    assert_eq!(late.unwrap_err().effect(), WriteEffect::NotWritten);
}
