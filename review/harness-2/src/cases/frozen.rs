//! CONFIG: a new configuration while a node stands still that watches the store for its zone.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{KvServer, RouteEntry, route_document};

use crate::{
    Case,
    clients::{Clients, Load},
    endpoint::{Endpoint, answer},
    fleet::{Machine, until_ready},
    http::{self, Call},
};

const CONFIG: Duration = Duration::from_secs(2);
const FREEZE: Duration = Duration::from_secs(5);
/// Time after the acknowledgment for which requests of the new route are sent.
const WATCHED: Duration = Duration::from_millis(4_500);
const ROUNDS: u64 = 5;
const ZONES: [&str; 3] = ["dourbes-hall", "uccle-annex", "namur-vault"];
/// Services of the endpoints in each zone. The machine of the first has the best link.
const SERVICES: [&str; 3] = ["files", "prices", "prices"];

/// Returns the configuration: each version adds a route.
fn document(version: u64) -> String {
    let new = (2..=version).map(|n| RouteEntry::new(format!("/new-{n}/"), "safe", "prices"));
    let mut routes = vec![RouteEntry::new("/prices/", "safe", "prices")];
    routes.extend(new);
    route_document(version, &SERVICES, &routes)
}

/// Sends a request of the newest route, and returns the status of its answer.
fn probe(machine: &Machine, version: u64, id: &str) -> u16 {
    let call = Call::new("GET", &format!("/new-{version}/x"))
        .with("X-Geraniumspring-Request-Id", id)
        .with("X-Geraniumspring-Deadline-Ms", 1_000);
    http::call(machine.outbound(), &call, Duration::from_millis(1_100))
        .map_or(0, |reply| reply.status)
}

pub fn play(case: &Case) -> bool {
    let store = KvServer::start(1);
    let put = |version| {
        let document = document(version);
        store.state().operator_put("op/config", document.as_bytes());
    };
    put(1);
    let mut machines: Vec<Machine> = Vec::new();
    for zone in ZONES {
        for (n, service) in SERVICES.into_iter().enumerate() {
            let mut machine = case.machine(&format!("{zone}-{n}"), zone, service, &store);
            machine.link_mbps = if n == 0 { 140.0 } else { 100.0 };
            machines.push(machine);
        }
    }
    // The tenth machine, so that a freeze stops a tenth of them.
    machines.push(case.machine("tenth", ZONES[2], "prices", &store));
    for machine in &mut machines {
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let start_endpoint = |machine: &Machine| {
        let work = |run: &_, stream: &mut _| {
            thread::sleep(Duration::from_millis(30));
            answer(run, stream, "200 OK", "", b"fine")
        };
        Endpoint::start(machine, "v1", 12, Box::new(work))
    };
    let endpoints: Vec<Arc<Endpoint>> = machines.iter().map(start_endpoint).collect();
    until_ready(&machines, Duration::from_secs(10));
    thread::sleep(Duration::from_secs(8));
    let load = Load {
        method: "GET",
        prefix: "/prices/",
        deadline: Duration::from_millis(1_000),
        pause: Duration::from_millis(100),
    };
    let addrs = (0..2 * machines.len()).map(|n| machines[n % machines.len()].outbound());
    let clients = Clients::start(addrs, load);
    let mut late = 0;
    for round in 0..ROUNDS {
        let version = round + 2;
        if case.trouble {
            machines[0].signal("STOP");
            case.note("the node stands still that watches the store for its zone");
        }
        let frozen = Instant::now();
        thread::sleep(Duration::from_millis(100));
        put(version);
        let acknowledged = Instant::now();
        case.note(&format!("version {version} is acknowledged"));
        let mut number = 0;
        while acknowledged.elapsed() < WATCHED {
            for machine in &machines[1..3] {
                number += 1;
                let id = format!("v{version}-{number}");
                let sent = acknowledged.elapsed();
                let status = probe(machine, version, &id);
                case.note(&format!(
                    "{id} sent to {} {:.2} s after the acknowledgment, answered {status}",
                    machine.name,
                    sent.as_secs_f64()
                ));
                late += u32::from(status == 404 && sent > CONFIG);
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
        if case.trouble {
            machines[0].signal("CONT");
            case.note("it goes on");
        }
        thread::sleep(Duration::from_millis(6_000 + 370 * round));
    }
    let answers = clients.stop();
    case.list(&answers, &endpoints);
    case.note(&format!(
        "{late} requests sent later than ConfigS after the acknowledgment were refused with 404 by other machines"
    ));
    late > 0
}
