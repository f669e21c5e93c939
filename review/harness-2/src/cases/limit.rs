//! LIMIT: the node beside an endpoint in need is killed and started again.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{KvServer, RouteEntry, route_document};

use crate::{
    Case,
    clients::{Clients, Load},
    endpoint::{Endpoint, answer},
    fleet::{Machine, until_ready},
};

const LIMIT_PER_S: f64 = 2.0;
const SLOTS: u32 = 18;
const TOUCH: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

pub fn play(case: &Case) -> bool {
    let store = KvServer::start(1);
    let routes = [
        RouteEntry::new("/trails/", "safe", "trails"),
        RouteEntry::new("/permits/", "safe", "permits"),
    ];
    let document = route_document(1, &["trails", "permits"], &routes);
    store.state().operator_put("op/config", document.as_bytes());
    let names = [
        ("front-0", "permits"),
        ("front-1", "permits"),
        ("back", "trails"),
    ];
    let mut machines: Vec<Machine> = names
        .map(|(name, service)| case.machine(name, "ganges", service, &store))
        .into();
    for machine in &mut machines {
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let is_in_need = Arc::new(AtomicBool::new(false));
    let start_endpoint = |machine: &Machine| {
        let is_in_need = Arc::clone(&is_in_need);
        let work = move |run: &_, stream: &mut _| {
            thread::sleep(Duration::from_millis(150));
            let notice = if is_in_need.load(Ordering::Relaxed) {
                format!("Server-Limit: {LIMIT_PER_S}\r\n")
            } else {
                String::new()
            };
            answer(run, stream, "200 OK", &notice, b"fine")
        };
        Endpoint::start(machine, "v1", SLOTS, Box::new(work))
    };
    let endpoints: Vec<Arc<Endpoint>> = machines.iter().map(start_endpoint).collect();
    until_ready(&machines, Duration::from_secs(10));
    thread::sleep(Duration::from_secs(4));
    let load = Load {
        method: "GET",
        prefix: "/trails/",
        deadline: Duration::from_millis(1_500),
        pause: Duration::from_millis(200),
    };
    let clients = Clients::start((0..40).map(|n| machines[n % 2].outbound()), load);
    thread::sleep(Duration::from_secs(2));
    // An endpoint in need rejects health checks like other requests.
    is_in_need.store(true, Ordering::Relaxed);
    endpoints[2].is_healthy.store(false, Ordering::Relaxed);
    let named = Instant::now();
    case.note("the endpoint is in need and names its limit");
    thread::sleep(Duration::from_secs(8));
    if case.trouble {
        machines[2].kill();
        case.note("the node beside it is killed");
        thread::sleep(Duration::from_millis(500));
        machines[2].start();
        case.note("it is started again");
    }
    thread::sleep(Duration::from_secs(8));
    let answers = clients.stop();
    case.list(&answers, &endpoints);

    let runs = endpoints[2].runs.lock().unwrap();
    let times: Vec<Instant> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= named + TOUCH)
        .collect();
    let in_window = |from: &Instant| {
        let inside = times
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        inside.count()
    };
    let most = times.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
    case.note(&format!(
        "the endpoint got {most} requests in 4 s from machines that weren't disturbed; allowed are {allowed}"
    ));
    most as f64 > allowed
}
