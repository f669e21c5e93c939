//! Answers whose length the backend server doesn't name.
//!
//! Here nothing but the closing chunk tells a whole body from a part of one, so
//! each hop must see to it that a break stays a break.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use geranium_rig::{PairPart, ProcessSignal};

use crate::{
    caller::Call,
    fleet::{Fleet, wait_until},
};

const CHUNK_BYTES: usize = 100_000;
/// Chunks of an answer; the first four fit in its first part.
const CHUNKS: usize = 2_000;
/// Chunk after which an answer to `/verdskra/breaks` ends without its close.
const BREAK_AFTER: [usize; 2] = [1, 40];

/// A backend server that answers every request with chunks.
struct ChunkedBackend {
    addr: SocketAddr,
    sent: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl ChunkedBackend {
    /// Takes the place of an instance's backend server.
    fn instead_of(fleet: &mut Fleet, instance: &str) -> Self {
        fleet
            .pair_mut(instance)
            .signal(PairPart::Backend, ProcessSignal::Kill);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let backend = Self {
            addr,
            sent: Arc::new(AtomicUsize::new(0)),
            stop: Arc::new(AtomicBool::new(false)),
        };
        let sent = Arc::clone(&backend.sent);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sent = Arc::clone(&sent);
                thread::spawn(move || answer(stream, &sent));
            }
        });
        backend.announce(fleet.pair(instance).addresses.admin);
        backend
    }

    fn announce(&self, admin: SocketAddr) {
        let body = serde_json::json!({
            "service": "verdskra", "address": self.addr.to_string(), "slots": 4, "announced": 7,
        });
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let post = attohttpc::post(format!("http://{admin}/announce")).json(&body);
                let _ = post.expect("json").send();
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
}

impl Drop for ChunkedBackend {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn answer(mut stream: TcpStream, sent: &AtomicUsize) -> Option<()> {
    let mut head = [0; 4_096];
    let length = stream.read(&mut head).ok()?;
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let breaks = head.split_once("/verdskra/breaks/").map(|(_, rest)| {
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<usize>().unwrap_or_default()
    });
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .ok()?;
    let chunk = vec![b'x'; CHUNK_BYTES];
    for _ in 0..breaks.unwrap_or(CHUNKS) {
        write!(stream, "{CHUNK_BYTES:x}\r\n").ok()?;
        stream.write_all(&chunk).ok()?;
        stream.write_all(b"\r\n").ok()?;
        sent.fetch_add(1, Ordering::Relaxed);
    }
    if breaks.is_none() {
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

fn wait_served(fleet: &Fleet) {
    fleet.pair("verdskra-2");
    wait_until("the chunked backend server to be used", || {
        let answer = Call::get(fleet.node("pantanir-1"), "/verdskra/breaks/1").send();
        answer.is_ok_and(|answer| answer.served_by == "verdskra-1")
    });
}

fn fleet_with_chunks() -> (Fleet, ChunkedBackend) {
    let mut fleet = Fleet::small();
    fleet
        .pair_mut("verdskra-2")
        .signal(PairPart::Backend, ProcessSignal::Kill);
    let backend = ChunkedBackend::instead_of(&mut fleet, "verdskra-1");
    wait_served(&fleet);
    (fleet, backend)
}

/// The backend server dies before its closing chunk, early or late. The caller
/// must see a break, through its server's own node and through another.
#[test]
fn a_missing_close_is_never_made_up_for() {
    let (fleet, _backend) = fleet_with_chunks();
    for instance in ["verdskra-1", "pantanir-1"] {
        for chunks in BREAK_AFTER {
            let path = format!("/verdskra/breaks/{chunks}");
            let answer = Call::get(fleet.node(instance), &path).send();
            let whole = answer
                .as_ref()
                .is_ok_and(|answer| answer.status == 200 && answer.body.is_ok());
            assert!(!whole, "{path} through {instance} looked whole");
        }
    }
}

/// A long answer of unknown length arrives whole when nothing breaks, and as a
/// break when the node beside the backend server is killed midway.
#[test]
fn a_killed_node_is_never_taken_for_the_end() {
    let (mut fleet, backend) = fleet_with_chunks();
    let node = fleet.node("pantanir-1");
    let whole = Call::get(node, "/verdskra/bulk/whole")
        .send()
        .expect("an answer");
    assert_eq!(
        whole.body.expect("a whole body").len(),
        CHUNKS * CHUNK_BYTES
    );
    let before = backend.sent.load(Ordering::Relaxed);
    let reading = thread::spawn(move || Call::get(node, "/verdskra/bulk/killed").send());
    wait_until("the transfer", || {
        backend.sent.load(Ordering::Relaxed) > before + 20
    });
    fleet
        .pair_mut("verdskra-1")
        .signal(PairPart::Node, ProcessSignal::Kill);
    let answer = reading.join().expect("the caller ends");
    let whole = answer
        .as_ref()
        .is_ok_and(|answer| answer.status == 200 && answer.body.is_ok());
    assert!(!whole, "a killed node can't have sent all of it");
}
