//! EXPOSURE: a bad version of a service with three endpoints.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{KvServer, RouteEntry, route_document};

use crate::{
    Case,
    clients::{Clients, Load},
    endpoint::{Endpoint, answer},
    fleet::{Machine, Terms, until_ready},
};

const ZONES: [&str; 3] = ["dourbes-hall", "uccle-annex", "namur-vault"];
/// Services of the fleet, with their endpoints in each zone.
const SERVICES: [(&str, usize); 3] = [("indexdesk", 2), ("bulletin", 1), ("archivist", 1)];
const SERVICE: &str = "bulletin";
/// Share of the bad version's answers that are failures.
const BAD_SHARE: f64 = 0.5;
const ROLLBACK: Duration = Duration::from_secs(5);
const DURATION: Duration = Duration::from_secs(16);

fn terms() -> Terms {
    Terms {
        contracts: vec![
            "base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout",
            "platform",
        ],
        bounds: "ExposeShare = 0.1\nExposeSlack = 50\nRollbackS = 5\n",
    }
}

/// Times of a version's answers, and whether they were failures.
type Outcomes = Arc<Mutex<Vec<(Instant, bool)>>>;

fn start_endpoint(
    machine: &Machine,
    version: &str,
    bad_share: f64,
    outcomes: &Outcomes,
) -> Arc<Endpoint> {
    let outcomes = Arc::clone(outcomes);
    let count = AtomicU32::new(0);
    let work = move |run: &_, stream: &mut _| {
        thread::sleep(Duration::from_millis(60));
        let count = f64::from(count.fetch_add(1, Ordering::Relaxed));
        let is_bad = ((count + 1.0) * bad_share).floor() > (count * bad_share).floor();
        outcomes.lock().unwrap().push((Instant::now(), is_bad));
        let status = if is_bad {
            "500 Internal Server Error"
        } else {
            "200 OK"
        };
        answer(run, stream, status, "", b"")
    };
    Endpoint::start(machine, version, 12, Box::new(work))
}

pub fn play(case: &Case) -> bool {
    let store = KvServer::start(1);
    let services = SERVICES.map(|(service, _)| service);
    let routes = services.map(|service| RouteEntry::new(format!("/{service}/"), "unsafe", service));
    let document = route_document(1, &services, &routes);
    store.state().operator_put("op/config", document.as_bytes());
    let add = |name: &str, zone: &str, service: &str| {
        let mut machine = case.machine(name, zone, service, &store);
        machine.terms = terms();
        machine
    };
    let mut old: Vec<Machine> = Vec::new();
    for zone in ZONES {
        for (service, count) in SERVICES {
            old.extend((0..count).map(|n| add(&format!("{service}-{zone}-{n}"), zone, service)));
        }
    }
    for machine in &mut old {
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let [others, at_old, at_new] = [(); 3].map(|()| Outcomes::default());
    let start_old = |machine: &Machine| {
        let is_service = machine.service == SERVICE;
        start_endpoint(
            machine,
            "v1",
            0.0,
            if is_service { &at_old } else { &others },
        )
    };
    let old_endpoints: Vec<Arc<Endpoint>> = old.iter().map(start_old).collect();
    until_ready(&old, Duration::from_secs(15));
    thread::sleep(Duration::from_secs(4));
    let load = Load {
        method: "POST",
        prefix: "/bulletin/",
        deadline: Duration::from_millis(3_000),
        pause: Duration::from_millis(140),
    };
    let clients = Clients::start((0..24).map(|n| old[n % old.len()].outbound()), load);
    thread::sleep(Duration::from_secs(2));

    let order = format!(
        r#"{{"Service":"{SERVICE}","TargetVersion":"v2","DurationS":{}}}"#,
        DURATION.as_secs()
    );
    store
        .state()
        .operator_put(&format!("op/rollout/{SERVICE}"), order.as_bytes());
    let ordered = Instant::now();
    case.note("the rollout is ordered");
    let mut new: Vec<Machine> = ZONES
        .iter()
        .map(|zone| add(&format!("{SERVICE}-{zone}-new"), zone, SERVICE))
        .collect();
    for machine in &mut new {
        machine.bootstrap = false;
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let bad_share = if case.trouble { BAD_SHARE } else { 0.0 };
    let start_new = |machine: &Machine| start_endpoint(machine, "v2", bad_share, &at_new);
    let new_endpoints: Vec<Arc<Endpoint>> = new.iter().map(start_new).collect();

    let status_key = format!("status/rollout/{SERVICE}");
    let mut last = String::new();
    while ordered.elapsed() < 2 * DURATION {
        let status = store.state().value(&status_key).unwrap_or_default();
        let status = String::from_utf8_lossy(&status).into_owned();
        if status != last {
            case.note(&format!("status {status}"));
            if status.contains("completed") {
                // The platform stops the old endpoints at once.
                for (machine, endpoint) in old.iter().zip(&old_endpoints) {
                    if machine.service == SERVICE {
                        endpoint.exit();
                    }
                }
            }
            last = status;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let answers = clients.stop();
    let all: Vec<_> = old_endpoints
        .iter()
        .chain(&new_endpoints)
        .cloned()
        .collect();
    case.list(&answers, &all);

    let mut statuses = BTreeMap::<u16, u32>::new();
    for answer in answers.iter().filter(|answer| answer.sent >= ordered) {
        *statuses.entry(answer.status).or_default() += 1;
    }
    let outcomes = at_new.lock().unwrap();
    let bad: Vec<Instant> = outcomes
        .iter()
        .filter(|(_, is_bad)| *is_bad)
        .map(|(at, _)| *at)
        .collect();
    case.note(&format!(
        "since the order clients got {statuses:?}; v1 ran {}, v2 ran {}, {} of them bad",
        at_old.lock().unwrap().len(),
        outcomes.len(),
        bad.len()
    ));
    let Some(fiftieth) = bad.get(49) else {
        return false;
    };
    let bound = *fiftieth + ROLLBACK;
    let runs = new_endpoints.iter().flat_map(|endpoint| {
        let runs = endpoint.runs.lock().unwrap();
        runs.iter().map(|run| run.id.clone()).collect::<Vec<_>>()
    });
    let runs: Vec<String> = runs.collect();
    let late = answers
        .iter()
        .filter(|answer| answer.sent > bound && runs.contains(&answer.id));
    let (late, failed) = late.fold((0, 0), |(late, failed), answer| {
        (late + 1, failed + u32::from(answer.status >= 500))
    });
    case.note(&format!(
        "the 50th bad answer came {:.1} s after the order; v2 got {late} requests that were sent more than RollbackS after it, and failed {failed} of them",
        (*fiftieth - ordered).as_secs_f64()
    ));
    late > 0
}
