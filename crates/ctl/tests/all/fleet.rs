//! Status of the fleet, read from the nodes' admin addresses.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use geranium_ctl::{Command, CtlError, OutputFormat, RetrySchedule, Session, run};
use serde_json::{Value, json};

use crate::support::{MemoryStore, codec, put_in_force, store_with_presets, wait};

/// Serves a node's status and members at its own IP address, on the port that all nodes share.
fn serve_admin(ip: [u8; 4], port: u16, status: Value, members: Value) {
    let listener = TcpListener::bind(SocketAddr::from((ip, port))).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            respond(&mut stream.unwrap(), &status, &members);
        }
    });
}

fn respond(stream: &mut TcpStream, status: &Value, members: &Value) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    while lines.next().is_some_and(|line| !line.unwrap().is_empty()) {}
    let body = match first.as_str() {
        "GET /status HTTP/1.1" => status.to_string(),
        "GET /members HTTP/1.1" => members.to_string(),
        other => panic!("unexpected {other}"),
    };
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all((head + &body).as_bytes()).unwrap();
}

fn status(ip: [u8; 4], version: u64) -> Value {
    let peer_addr = SocketAddr::from((ip, 7600));
    json!({
        "instance": format!("till-{}", ip[3]), "data_centre": "hofdi", "service": "verdskra",
        "hop": peer_addr, "version": version, "members": 3, "store_age_ms": 40, "backend": "i-1",
        "running": 0, "waiting": 0, "ready": version > 0,
    })
}

fn member(ip: [u8; 4]) -> Value {
    json!({
        "hop": SocketAddr::from((ip, 7600)), "instance": "i-1", "service": "verdskra",
        "data_centre": "hofdi", "slots": 12, "state": "ready", "cold_ms": 0, "link_mbps": 100,
        "sequence": 1,
    })
}

/// Starts nodes that use `versions`; one more node is announced but doesn't respond.
///
/// Returns their admin port and the first node's admin address.
fn start(group: u8, versions: &[u64]) -> (u16, SocketAddr) {
    let ips: Vec<[u8; 4]> = (1..=versions.len() as u8 + 1)
        .map(|number| [127, 9, group, number])
        .collect();
    let free = TcpListener::bind((std::net::Ipv4Addr::from(ips[0]), 0)).unwrap();
    let port = free.local_addr().unwrap().port();
    drop(free);
    let members: Value = ips.iter().map(|ip| member(*ip)).collect();
    for (ip, version) in ips.iter().zip(versions) {
        serve_admin(*ip, port, status(*ip, *version), members.clone());
    }
    (port, SocketAddr::from((ips[0], port)))
}

fn session(store: Option<MemoryStore>, port: u16, node: SocketAddr) -> Session<MemoryStore> {
    Session {
        store,
        codec: codec(),
        operator: None,
        nodes: vec![node],
        status_port: port,
        retry_schedule: RetrySchedule::without_pause(1),
    }
}

fn fetch_status(session: &Session<MemoryStore>) -> Result<Value, CtlError> {
    let text = wait(run(session, &Command::Status, OutputFormat::Json))?;
    Ok(serde_json::from_str(&text).unwrap())
}

/// Guards against a status that leaves out a node with an older version or one that doesn't
/// respond, when the operator named a single node.
#[test]
fn status_names_lagging_and_silent_nodes() {
    let (port, node) = start(1, &[2, 1, 2]);
    let store = store_with_presets();
    put_in_force(&store, "peak").unwrap();
    let report = fetch_status(&session(None, port, node)).unwrap();
    assert_eq!(
        (&report["version"], &report["nodes"], &report["following"]),
        (&json!(2), &json!(3), &json!(2))
    );
    assert_eq!(report["lagging"][0]["instance"], "till-2");
    assert_eq!(report["silent"].as_array().unwrap().len(), 1);
}

/// Guards against showing an old version as the one in force when the store is unavailable or
/// the read from it is stale. The nodes' newest version counts then.
#[test]
fn status_uses_the_nodes_version_when_the_store_is_behind_or_away() {
    let (port, node) = start(2, &[2, 1]);
    for store in [Some(store_with_presets()), None] {
        let is_away = store.is_none();
        let report = fetch_status(&session(store, port, node)).unwrap();
        assert_eq!(report["version"], json!(2));
        assert_eq!(report["store"].is_string(), is_away);
    }
}
