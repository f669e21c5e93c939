//! CONFIG: long answers that stall because the node beside the endpoint stands still.

use std::{
    io::{BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{KvServer, RouteEntry, route_document};

use crate::{
    Case,
    endpoint::{Endpoint, answer_head},
    fleet::{Machine, until_ready},
    http::{self, Call, Deadline},
};

/// `TimeoutS` of the route.
const TIMEOUT: Duration = Duration::from_millis(1_500);
const FREEZE: Duration = Duration::from_secs(5);
const CLIENT_WAITS: Duration = Duration::from_secs(9);
const MACHINES: usize = 10;
const FROZEN: usize = 1;
const REQUESTS: usize = 10;
const BYTES: usize = 400_000;
const PIECES: usize = 20;

pub fn play(case: &Case) -> bool {
    let store = KvServer::start(1);
    let routes = [
        RouteEntry::new("/files/", "download", "files").with_timeout(TIMEOUT.as_secs_f64()),
        RouteEntry::new("/prices/", "safe", "prices"),
    ];
    let document = route_document(1, &["files", "prices"], &routes);
    store.state().operator_put("op/config", document.as_bytes());
    // A freeze stops a tenth of the machines.
    let mut machines: Vec<Machine> = (0..MACHINES)
        .map(|n| {
            let service = if n == FROZEN { "files" } else { "prices" };
            case.machine(&format!("m-{n}"), "dourbes-hall", service, &store)
        })
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let start_endpoint = |machine: &Machine| {
        // A file takes a second.
        let work = |run: &_, stream: &mut TcpStream| {
            let piece = vec![b'f'; BYTES / PIECES];
            answer_head(run, stream, "200 OK", "", BYTES)
                && (0..PIECES).all(|_| {
                    thread::sleep(Duration::from_millis(50));
                    stream.write_all(&piece).is_ok()
                })
        };
        Endpoint::start(machine, "v1", 12, Box::new(work))
    };
    let endpoints: Vec<Arc<Endpoint>> = machines.iter().map(start_endpoint).collect();
    until_ready(&machines, Duration::from_secs(10));
    thread::sleep(Duration::from_secs(4));
    let addr = machines[0].outbound();
    let downloads = (0..REQUESTS).map(|n| thread::spawn(move || download(n, addr)));
    let downloads: Vec<_> = downloads.collect();
    case.note("the downloads are sent");
    thread::sleep(Duration::from_millis(500));
    if case.trouble {
        machines[FROZEN].signal("STOP");
        case.note("the node beside the endpoint stands still");
    }
    thread::sleep(FREEZE);
    if case.trouble {
        machines[FROZEN].signal("CONT");
        case.note("it goes on");
    }
    let ends = downloads
        .into_iter()
        .filter_map(|thread| thread.join().ok());
    let ends: Vec<(Duration, String)> = ends.collect();
    for (took, end) in &ends {
        case.note(&format!("{end} after {:.3} s", took.as_secs_f64()));
    }
    case.list(&[], &endpoints);
    let longer_than = |bound: Duration| ends.iter().filter(|(took, _)| *took > bound).count();
    let long = longer_than(TIMEOUT);
    let late = longer_than(TIMEOUT + Duration::from_millis(500));
    case.note(&format!(
        "{long} requests last longer than TimeoutS; {late} of them have no final answer 0.5 s after it"
    ));
    late >= 8 && late * 4 > long
}

/// Sends a request, and returns when and how its answer ended.
fn download(n: usize, addr: SocketAddr) -> (Duration, String) {
    let call = Call::new("GET", &format!("/files/{n}"))
        .with("X-Geraniumspring-Request-Id", format!("f-{n}"))
        .with("X-Geraniumspring-Deadline-Ms", CLIENT_WAITS.as_millis());
    let sent = Instant::now();
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return (sent.elapsed(), format!("f-{n}: not connected"));
    };
    drop(stream.write_all(&call.bytes()));
    let until = sent + CLIENT_WAITS;
    let mut reader = BufReader::new(Deadline { stream, until });
    let status = match http::read_head(&mut reader) {
        Ok(Some(head)) => head.word(1).to_owned(),
        _ => "none".to_owned(),
    };
    let mut got = 0;
    let mut buf = [0; 16 * 1024];
    let end = loop {
        match reader.read(&mut buf) {
            Ok(0) => break "connection closed".to_owned(),
            Ok(read) => got += read,
            Err(error) => break error.kind().to_string(),
        }
        if got >= BYTES {
            break "complete".to_owned();
        }
    };
    (
        sent.elapsed(),
        format!("f-{n}: status {status}, {got} bytes, {end}"),
    )
}
