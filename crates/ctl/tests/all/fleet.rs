//! The fleet's state, asked from nodes' admin ports.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use geranium_ctl::{Command, CtlError, OutputFormat, Patience, Session, run};
use geranium_model::ResultCode;
use geranium_platform::MemoryStore;
use serde_json::{Value, json};

use crate::support::{prepared, put_in_force};

/// Admin ports of `versions.len()` nodes, and of one that doesn't answer.
struct FakeFleet {
    addrs: Vec<SocketAddr>,
}

fn member(index: usize, addr: SocketAddr) -> Value {
    json!({
        "instance": format!("node-{index}"), "incarnation": 5, "started": 5, "state": "live",
        "service": "verdskra", "data_centre": "hofdi", "region": "reykjavik",
        "control_addr": addr, "data_addr": addr, "admin_addr": addr, "slots": 12,
    })
}

fn status(index: usize, version: u64) -> Value {
    json!({
        "instance": format!("node-{index}"), "data_centre": "hofdi", "region": "reykjavik",
        "state": "live", "service": "verdskra", "version": version, "preset": "peak",
        "digest": "00", "members": 3, "links": ["node-0", "node-1"], "takers": 3, "counters": {},
        "refused": (version == 1).then_some("error 204"), "is_watcher": false, "started": 5,
        "incarnation": 5,
    })
}

fn answer(stream: &mut TcpStream, status: &Value, members: &Value) {
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    while lines.next().is_some_and(|line| !line.unwrap().is_empty()) {}
    let body = match first.as_str() {
        "GET /status HTTP/1.1" => status.to_string(),
        "GET /members HTTP/1.1" => members.to_string(),
        "POST /drain HTTP/1.1" => "{}".to_owned(),
        other => panic!("unexpected {other}"),
    };
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .unwrap();
}

fn start(versions: &[u64]) -> FakeFleet {
    let bind = || TcpListener::bind("127.0.0.1:0").unwrap();
    let listeners: Vec<_> = versions.iter().map(|_| bind()).collect();
    let addrs: Vec<_> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let gone = bind().local_addr().unwrap();
    let rows = addrs.iter().chain([&gone]).enumerate();
    let members: Value = rows.map(|(index, addr)| member(index, *addr)).collect();
    for (index, (listener, version)) in listeners.into_iter().zip(versions).enumerate() {
        let (members, status) = (members.clone(), status(index, *version));
        thread::spawn(move || {
            for stream in listener.incoming() {
                answer(&mut stream.unwrap(), &status, &members);
            }
        });
    }
    FakeFleet { addrs }
}

fn session(store: Option<MemoryStore>, nodes: Vec<SocketAddr>) -> Session {
    let store = store.map(|store| Box::new(store) as Box<_>);
    Session::new(store, None, nodes, Patience::new(1))
}

fn ask(session: &Session, command: &Command) -> Result<Value, CtlError> {
    let text = run(session, command, OutputFormat::Json)?;
    Ok(serde_json::from_str(&text).unwrap())
}

/// Story: a peak preset is in force, one node lags and one doesn't answer. An
/// operator sees both by name, having asked a single node.
#[test]
fn status_names_lagging_and_silent_nodes() {
    let fleet = start(&[2, 1, 2]);
    let store = prepared();
    put_in_force(&store, "peak").unwrap();
    let told = ask(
        &session(Some(store), vec![fleet.addrs[0]]),
        &Command::Status,
    )
    .unwrap();
    assert_eq!(
        (&told["version"], &told["nodes"], &told["following"]),
        (&json!(2), &json!(3), &json!(2))
    );
    assert_eq!(told["lagging"][0]["instance"], "node-1");
    assert_eq!(told["lagging"][0]["behind"], 1);
    assert_eq!(
        told["refusing"],
        json!([{"instance": "node-1", "reason": "error 204"}])
    );
    assert_eq!(told["silent"].as_array().unwrap().len(), 1);
}

/// Story: the platform is away, or serves a stale record. The nodes' newest
/// version is what the fleet follows, and a stale record must not make them
/// all look right or wrong.
#[test]
fn status_goes_by_the_nodes_when_the_platform_is_stale_or_away() {
    let fleet = start(&[2, 1]);
    let stale = prepared();
    for store in [Some(stale), None] {
        let is_away = store.is_none();
        let told = ask(&session(store, vec![fleet.addrs[1]]), &Command::Status).unwrap();
        assert_eq!(
            (&told["version"], &told["following"]),
            (&json!(2), &json!(1))
        );
        assert_eq!(told["platform"].is_string(), is_away);
    }
}

#[test]
fn drain_finds_an_instance_by_name() {
    let fleet = start(&[1, 1]);
    let session = session(None, vec![fleet.addrs[0]]);
    let drain = |target: &str| Command::Drain {
        target: target.to_owned(),
    };
    let told = ask(&session, &drain("node-1")).unwrap();
    assert_eq!(told["admin_addr"], fleet.addrs[1].to_string());
    ask(&session, &drain(&fleet.addrs[0].to_string())).unwrap();
    let unknown = ask(&session, &drain("node-9")).unwrap_err();
    assert_eq!(unknown.code(), ResultCode::AdminBadAnswer);
    let gone = ask(&session, &drain("node-2")).unwrap_err();
    assert_eq!(gone.code(), ResultCode::AdminUnreachable);
    assert_eq!(
        ask(&session, &Command::Nodes).unwrap()["nodes"]
            .as_array()
            .unwrap()
            .len(),
        3
    );
}
