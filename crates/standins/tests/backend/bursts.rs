//! Many connections at once.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use crate::caller::start;

/// Long past any answer: a connection that nobody serves hangs for good.
const HANG: Duration = Duration::from_secs(20);

// A node reconnects to a backend server that was paused: many connections
// wait to be accepted, and come in within microseconds. tiny_http hands some
// to threads that it believes idle and that are taken already, and leaves them
// unserved while the other connections stay open.
#[test]
fn every_connection_of_a_burst_is_served() {
    let server = start(&["--slots", "200", "--service-ms", "0"]);
    let mut kept: Vec<TcpStream> = Vec::new();
    for _ in 0..20 {
        let connect = || TcpStream::connect(server.address()).unwrap();
        let mut burst: Vec<_> = (0..8).map(|_| connect()).collect();
        for stream in &mut burst {
            stream.set_read_timeout(Some(HANG)).unwrap();
            stream
                .write_all(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
                .unwrap();
        }
        for stream in &mut burst {
            let mut start = [0; 12];
            stream.read_exact(&mut start).unwrap();
            assert_eq!(&start, b"HTTP/1.1 200");
        }
        burst.truncate(6);
        kept.append(&mut burst);
    }
    assert_eq!(kept.len(), 120);
}
