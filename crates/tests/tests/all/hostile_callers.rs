//! Slow and malformed callers on the callers' port.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use geranium_model::{Outcome, ResultCode};

use crate::{
    caller::Call,
    fleet::{Fleet, small_layout, wait_until},
};

fn connect(node: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(node).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    stream
}

/// Sends raw bytes and returns what comes back until the port closes.
fn exchange(node: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(node);
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn strict_fleet() -> Fleet {
    let mut layout = small_layout();
    let flags = [
        ("--request-timeout-s", "1"),
        ("--connections-max", "40"),
        ("--stall-timeout-s", "1"),
    ];
    layout
        .node_flags
        .extend(flags.map(|(flag, value)| (flag.to_owned(), value.to_owned())));
    Fleet::with(&layout)
}

fn assert_serves(fleet: &Fleet) {
    wait_until("an ordinary answer", || {
        let answer = Call::get(fleet.node("verdskra-1"), "/verdskra/fish").send();
        answer.is_ok_and(|answer| answer.outcome == Outcome::Ran)
    });
}

/// Connections with half a head, and then posts whose bodies never come, take
/// every place there is. They are ended, and ordinary callers are served again.
#[test]
fn slow_callers_do_not_hold_the_port() {
    let fleet = strict_fleet();
    let node = fleet.node("verdskra-1");
    let half = b"GET /verdskra/fish HTTP/1.1\r\nhost: x\r\n".as_slice();
    let stalled = b"POST /verdskra/fish HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nabc";
    for slow in [half, stalled] {
        let held: Vec<_> = (0..40)
            .map(|_| {
                let mut stream = connect(node);
                let _ = stream.write_all(slow);
                stream
            })
            .collect();
        assert_serves(&fleet);
        for mut stream in held {
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer);
            assert!(!answer.contains("x-outcome: ran"), "{answer}");
        }
    }
}

/// More connections than there are places are turned away at once, with a time
/// to come back, and without reading what they have to say.
#[test]
fn connections_over_the_limit_are_turned_away() {
    let fleet = strict_fleet();
    let node = fleet.node("verdskra-1");
    let _held: Vec<_> = (0..40).map(|_| connect(node)).collect();
    let turned_away = (0..40).any(|_| {
        let mut answer = String::new();
        let read = connect(node).read_to_string(&mut answer);
        read.is_ok() && answer.contains("x-result-code: 109") && answer.contains("retry-after")
    });
    assert!(turned_away, "forty connections fill the port");
}

/// Connections on which nothing is ever sent, and others that stay open after
/// one answer, take every place there is. They are closed, and ordinary callers
/// are served again.
#[test]
fn silent_and_idle_connections_do_not_hold_the_port() {
    let fleet = strict_fleet();
    let node = fleet.node("verdskra-1");
    let mut held: Vec<_> = (0..40).map(|_| connect(node)).collect();
    for stream in held.iter_mut().step_by(2) {
        let _ = stream.write_all(b"GET /verdskra/fish HTTP/1.1\r\nhost: x\r\n\r\n");
    }
    assert_serves(&fleet);
    drop(held);
}

/// A caller asks for a large file and never reads it. It can't hold a slot of
/// the backend server for good.
#[test]
fn a_caller_that_does_not_read_is_left() {
    let fleet = strict_fleet();
    let mut held = Vec::new();
    for _ in 0..8 {
        let mut stream = connect(fleet.node("pantanir-1"));
        let ask = b"GET /verdskra/bulk/file/200000000/1 HTTP/1.1\r\nhost: x\r\n\r\n";
        stream.write_all(ask).expect("a request");
        held.push(stream);
    }
    wait_until("every slot to come free", || {
        let runs = fleet.runs();
        runs.len() >= 2
            && runs
                .iter()
                .all(|run| run.how != geranium_load::RunHow::Running)
    });
    assert_serves(&fleet);
    drop(held);
}

/// Callers announce more bytes of bodies than the node has room for, and send
/// none. Those beyond the room hear at once that there is none, and when to come
/// back; the node's memory isn't taken.
#[test]
fn bodies_beyond_the_room_are_refused_at_once() {
    let fleet = Fleet::small();
    let node = fleet.node("verdskra-1");
    let announced = b"POST /verdskra/fish HTTP/1.1\r\nhost: x\r\ncontent-length: 4000000\r\n\r\n";
    let held: Vec<_> = (0..24)
        .map(|_| {
            let mut stream = connect(node);
            stream.write_all(announced).expect("a head");
            stream
        })
        .collect();
    let answer = Call::post(node, "/verdskra/fish", &"a".repeat(4_000_000)).send();
    // The port may close before all of the body was sent.
    if let Ok(answer) = answer {
        assert_eq!(answer.code, ResultCode::QueueFull.number(), "{answer:?}");
        assert!(answer.says_when);
    }
    assert_serves(&fleet);
    drop(held);
}

/// Malformed, oversized and contradictory requests are refused, nothing runs,
/// and the node lives on.
#[test]
fn bad_requests_are_refused_and_the_node_lives() {
    let fleet = strict_fleet();
    let node = fleet.node("verdskra-1");
    let malformed = exchange(node, b"NONSENSE\r\n\r\n");
    assert!(malformed.starts_with("HTTP/1.1 400"), "{malformed}");
    let mut large = b"GET /verdskra/fish HTTP/1.1\r\nhost: x\r\nx-pad: ".to_vec();
    large.resize(200_000, b'a');
    let large = exchange(node, &large);
    assert!(large.starts_with("HTTP/1.1 431"), "{large}");
    let both = b"POST /verdskra/smuggle HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\
        transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n";
    let both = exchange(node, both);
    assert!(
        both.starts_with("HTTP/1.1 "),
        "it must get some answer: {both}"
    );

    let body = "a".repeat(5_000_000);
    let answer = Call::post(node, "/verdskra/fish", &body).send();
    // The port may close before all of the body was sent.
    if let Ok(answer) = answer {
        assert_eq!(answer.code, ResultCode::BodyTooLarge.number(), "{answer:?}");
        assert_eq!(answer.outcome, Outcome::NotRun);
    }
    let unknown = Call::get(node, "/nowhere").send().expect("an answer");
    assert_eq!((unknown.status, unknown.outcome), (404, Outcome::NotRun));
    assert_eq!(unknown.code, ResultCode::NoRoute.number());
    let deep = Call::get(node, "/verdskra/fish").header(geranium_model::headers::HOPS, 12);
    assert_eq!(
        deep.send().expect("an answer").code,
        ResultCode::TooManyHops.number()
    );
    let odd =
        Call::get(node, "/verdskra/fish").header(geranium_model::headers::DEADLINE_MS, "soon");
    assert_eq!(
        odd.send().expect("an answer").code,
        ResultCode::BadRequest.number()
    );
    assert_serves(&fleet);
}
