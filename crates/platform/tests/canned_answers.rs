//! The adapter against answers that the stand-in doesn't give.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use geranium_model::ResultCode;
use geranium_platform::{
    Endpoint, GatewaySettings, GatewayStore, PlatformStore, Revision, WatchAnswer, WriteEffect,
};

const WAIT: Duration = Duration::from_secs(5);
/// `geranium/a` and `1` in base64.
const ENTRY: &str = r#"{"key":"Z2VyYW5pdW0vYQ==","value":"MQ==","mod_revision":"40"}"#;

/// Answers one connection after another with the given bodies.
fn serve(bodies: Vec<String>) -> GatewayStore {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = Endpoint::from(listener.local_addr().unwrap());
    thread::spawn(move || {
        for body in bodies {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = Vec::new();
            while !request.ends_with(b"}") {
                let mut part = [0; 4096];
                let length = stream.read(&mut part).unwrap();
                request.extend_from_slice(&part[..length]);
            }
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all((head + &body).as_bytes()).unwrap();
        }
    });
    GatewayStore::try_from(GatewaySettings::new([endpoint])).unwrap()
}

fn compacted() -> String {
    r#"{"result":{"canceled":true,"compact_revision":"50"}}"#.to_owned()
}

/// Story: a gateway shuts down in good order and ends a waiting watch's stream
/// without an event. The watcher must learn that it is deaf.
#[test]
fn a_watch_that_ends_in_good_order_is_an_error() {
    let store = serve(vec![r#"{"result":{"created":true}}"#.to_owned() + "\n"]);
    let answer = store.watch("geranium/a", Revision::new(3), WAIT);
    assert_eq!(answer.unwrap_err().code(), ResultCode::PlatformUnavailable);
}

/// Story: a node was cut off for so long that the platform dropped the events
/// since. The watch is canceled, and the entry itself tells what happened.
#[test]
fn a_watch_from_a_compacted_revision_reads_the_entry() {
    let store = serve(vec![
        compacted(),
        format!(r#"{{"kvs":[{ENTRY}],"count":"1"}}"#),
    ]);
    let answer = store.watch("geranium/a", Revision::new(3), WAIT).unwrap();
    let WatchAnswer::Changed(entry) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(
        (entry.value.as_slice(), entry.revision.get()),
        (&b"1"[..], 40)
    );

    let store = serve(vec![compacted(), "{}".to_owned()]);
    let answer = store.watch("geranium/a", Revision::new(3), WAIT).unwrap();
    assert!(matches!(answer, WatchAnswer::Deleted { .. }));
}

/// Story: the same, but the key didn't change meanwhile: the watch goes on from
/// the oldest revision that is kept, and sees the next event.
#[test]
fn a_watch_goes_on_after_a_compaction() {
    let newer = ENTRY.replace("40", "60");
    let event = format!(r#"{{"result":{{"events":[{{"kv":{newer}}}]}}}}"#);
    let old = format!(r#"{{"kvs":[{ENTRY}]}}"#);
    let store = serve(vec![compacted(), old, event + "\n"]);
    let answer = store.watch("geranium/a", Revision::new(40), WAIT).unwrap();
    assert!(matches!(answer, WatchAnswer::Changed(entry) if entry.revision.get() == 60));
}

/// Story: something else than the platform listens on its port. A write's
/// effect is unknown then, and the operator is told of a bad answer.
#[test]
fn an_answer_of_another_shape_is_told_as_such() {
    let store = serve(vec!["<html>hello</html>".to_owned()]);
    let error = store
        .compare_and_swap("geranium/a", Revision::NONE, b"1", None)
        .unwrap_err();
    assert_eq!(error.code(), ResultCode::PlatformBadAnswer);
    assert_eq!(error.effect(), WriteEffect::Unknown);
}

/// Story: a broken machine in between lets an answer through byte by byte, so
/// that no silence is long. The caller's thread must come back all the same,
/// and not with the answer that was whole in the end.
#[test]
fn an_answer_that_trickles_in_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut settings = GatewaySettings::new([Endpoint::from(listener.local_addr().unwrap())]);
    settings.connect_timeout = Duration::from_millis(100);
    settings.read_timeout = Duration::from_millis(200);
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: 402\r\n\r\n{:400}{{}}",
            ""
        );
        for byte in answer.bytes() {
            thread::sleep(Duration::from_millis(10));
            if stream.write_all(&[byte]).is_err() {
                return;
            }
        }
    });
    let store = GatewayStore::try_from(settings).unwrap();
    let error = store.get("geranium/a").unwrap_err();
    assert_eq!(error.code(), ResultCode::PlatformUnavailable, "{error}");
}
