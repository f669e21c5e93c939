//! Heartbeats to the node.

use std::{net::SocketAddr, sync::mpsc, thread};

use geranium_standins::backend::Announcement;
use tiny_http::{Response, Server};

use crate::caller::start;

/// Takes announcements as a node's admin port does.
fn admin_port() -> (SocketAddr, mpsc::Receiver<Announcement>) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for mut request in server.incoming_requests() {
            assert_eq!(request.url(), "/announce");
            let announcement = serde_json::from_reader(request.as_reader()).unwrap();
            request.respond(Response::empty(200)).unwrap();
            if sender.send(announcement).is_err() {
                break;
            }
        }
    });
    (address, receiver)
}

#[test]
fn it_announces_itself_again_and_again_and_then_that_it_leaves() {
    let (admin, announcements) = admin_port();
    let server = start(&["--announce-to", &admin.to_string(), "--slots", "5"]);
    let first = announcements.recv().unwrap();
    assert_eq!(first.address, server.address());
    assert_eq!(
        (first.service.as_str(), first.slots, first.connections),
        ("prices", 5, 130)
    );
    assert!(!first.draining);
    assert_eq!(announcements.recv().unwrap(), first);
    server.drain();
    let last = announcements
        .iter()
        .find(|heartbeat| heartbeat.draining)
        .unwrap();
    assert_eq!(
        last,
        Announcement {
            draining: true,
            ..first
        }
    );
}
