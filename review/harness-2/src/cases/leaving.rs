//! DRAIN: an endpoint that has deregistered, while the node beside it is stopped and started again.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{KvFault, KvServer, RouteEntry, route_document};

use crate::{
    Case,
    clients::{Clients, Load},
    endpoint::{Endpoint, answer},
    fleet::{Machine, until_ready},
};

const DRAIN: Duration = Duration::from_secs(2);
const TOUCH: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(6);
/// Time for which the endpoint serves after its acknowledgment: `DrainS`, and many seconds longer.
const SERVES: Duration = Duration::from_secs(16);
/// Age of the copy at the time of the acknowledgment.
const COPY_AGE: Duration = Duration::from_millis(1_500);

/// What happens between the end of the node and its next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Away {
    /// It is started again at once.
    Short,
    /// It is away until its announcement has ended with its lease.
    Lease,
    /// The store comes back from an older copy.
    Drill,
}

/// The node is away for some seconds.
pub fn play_lease(case: &Case) -> bool {
    play(
        case,
        if case.trouble {
            Away::Lease
        } else {
            Away::Short
        },
    )
}

/// The store comes back from an older copy.
pub fn play_drill(case: &Case) -> bool {
    play(
        case,
        if case.trouble {
            Away::Drill
        } else {
            Away::Short
        },
    )
}

fn play(case: &Case, away: Away) -> bool {
    let store = KvServer::start(1);
    let routes = [
        RouteEntry::new("/orders/", "unsafe", "orders"),
        RouteEntry::new("/prices/", "safe", "prices"),
    ];
    let document = route_document(1, &["orders", "prices"], &routes);
    store.state().operator_put("op/config", document.as_bytes());
    let names = [
        ("front-0", "prices"),
        ("front-1", "prices"),
        ("stays", "orders"),
        ("leaves", "orders"),
    ];
    let mut machines: Vec<Machine> = names
        .map(|(name, service)| case.machine(name, "dourbes-hall", service, &store))
        .into();
    for machine in &mut machines {
        machine.start();
    }
    thread::sleep(Duration::from_millis(300));
    let start_endpoint = |machine: &Machine| {
        let work = |run: &_, stream: &mut _| {
            thread::sleep(Duration::from_millis(200));
            answer(run, stream, "200 OK", "", b"done")
        };
        Endpoint::start(machine, "v1", 12, Box::new(work))
    };
    let endpoints: Vec<Arc<Endpoint>> = machines.iter().map(start_endpoint).collect();
    until_ready(&machines, Duration::from_secs(10));
    thread::sleep(Duration::from_secs(5));
    let load = Load {
        method: "POST",
        prefix: "/orders/",
        deadline: Duration::from_millis(2_500),
        pause: Duration::from_millis(100),
    };
    let clients = Clients::start((0..12).map(|n| machines[n % 2].outbound()), load);
    thread::sleep(Duration::from_secs(2));
    let copy = store.state().copy();
    case.note("a copy of the store is made");
    thread::sleep(COPY_AGE);

    // The endpoint doesn't report `draining`. A heartbeat that it has sent before is on its way.
    let leaves = &endpoints[3];
    let late_sequence = leaves.sequence.fetch_add(1, Ordering::Relaxed);
    let begun = Instant::now();
    while !leaves.deregister() {
        if begun.elapsed() > Duration::from_secs(4) {
            crate::cannot_run("the deregistration isn't acknowledged");
        }
    }
    let acknowledged = Instant::now();
    case.note("the deregistration is acknowledged");
    thread::sleep(Duration::from_millis(500));

    case.note("SIGTERM to the node beside the endpoint");
    machines[3].signal("TERM");
    let stopping = Instant::now();
    while !machines[3].has_ended() && stopping.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(10));
    }
    machines[3].kill();
    case.note("it has ended");
    match away {
        Away::Short => thread::sleep(Duration::from_millis(300)),
        Away::Lease => {
            let inbound = machines[3].inbound().to_string();
            let is_announced = || {
                let keys = store.state().keys("geranium/member/");
                keys.iter().any(|key| key.ends_with(&inbound))
            };
            let ended = Instant::now();
            while is_announced() && ended.elapsed() < Duration::from_secs(8) {
                thread::sleep(Duration::from_millis(20));
            }
            case.note("its announcement has ended with its lease");
        }
        Away::Drill => {
            store.set_faults(KvFault::Busy);
            thread::sleep(Duration::from_millis(300));
            drop(store.state().restore_from(copy));
            store.set_faults(KvFault::Sound);
            case.note("the store is back from the copy");
        }
    }
    thread::sleep(Duration::from_millis(200));
    machines[3].start();
    let started = Instant::now();
    case.note("the node is started again");
    while !leaves.report_ready(late_sequence) && started.elapsed() < Duration::from_secs(3) {
        thread::sleep(Duration::from_millis(50));
    }
    case.note("the late heartbeat has arrived");

    thread::sleep(SERVES.saturating_sub(acknowledged.elapsed()));
    leaves.exit();
    case.note("the endpoint exits");
    thread::sleep(Duration::from_secs(2));
    let answers = clients.stop();
    case.list(&answers, &endpoints);

    // From here on all machines are in touch.
    let from = (acknowledged + DRAIN).max(started + TOUCH);
    let runs = leaves.runs.lock().unwrap();
    let late = answers.iter().filter(|answer| {
        let is_run = runs.iter().any(|run| run.id == answer.id);
        answer.sent >= from && is_run
    });
    let late: Vec<_> = late.collect();
    let lost = late.iter().filter(|answer| answer.status != 200).count();
    case.note(&format!(
        "{} requests, sent later than DrainS after the acknowledgment and TouchS after the last disturbance, reached the endpoint that left; {lost} of them were lost when it exited",
        late.len()
    ));
    !late.is_empty()
}
