//! Two endpoints crash, one after the other, each while it runs the same polled request.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use geranium_standins::RouteEntry;

use super::{PRICES, publish};
use crate::{
    Verdict,
    endpoint::{Endpoint, serve_soundly},
    fleet::Fleet,
};

const ARCHIVE: &str = "archive";
/// Endpoints of the service; one is 0.125 of them.
const ENDPOINTS: usize = 8;
/// Time for which a crashed endpoint is down.
const DOWN: Duration = Duration::from_millis(3_600);
/// Time in which an added route is in force.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Time from the return of an endpoint to the next step.
const CALM: Duration = Duration::from_secs(6);
/// Polls before and between the crashes.
const POLLS: u32 = 10;
/// Requests counted on each route at the end.
const REQUESTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(500);
/// Path that all clients poll.
const POLLED: &str = "/a/status";

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let services = [PRICES, ARCHIVE];
    let first = RouteEntry::new("/p/", "safe", PRICES);
    let added = RouteEntry::new("/a/", "safe", ARCHIVE);
    publish(fleet, 1, &services, std::slice::from_ref(&first));
    let crashes = Arc::new(AtomicBool::new(false));
    fleet.add(PRICES, None, Box::new(serve_soundly));
    for _ in 0..ENDPOINTS {
        let crashes = Arc::clone(&crashes);
        fleet.add(
            ARCHIVE,
            None,
            Box::new(move |endpoint, request, has_answered, stream| {
                if crashes.swap(false, Ordering::SeqCst) {
                    endpoint.crash();
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                serve_soundly(endpoint, request, has_answered, stream)
            }),
        );
    }
    fleet.settle()?;
    publish(fleet, 2, &services, &[first, added]);
    fleet.record.note("version 2 adds the route /a/");
    thread::sleep(CONFIG_WAIT);
    for _ in 0..2 {
        let served: u32 = (0..POLLS).map(|_| count_served(fleet, POLLED)).sum();
        fleet
            .record
            .note(&format!("{served} of {POLLS} polls were served"));
        if has_trouble {
            crash_one(fleet, &crashes);
        }
    }
    let (mut on_first, mut on_added) = (0, 0);
    for number in 0..REQUESTS {
        on_first += count_served(fleet, &format!("/p/{number}"));
        on_added += count_served(fleet, POLLED);
        thread::sleep(PAUSE);
    }
    fleet.record.note(&format!(
        "of {REQUESTS} requests each, {on_first} were served on the first route and {on_added} on the added one"
    ));
    Ok(on_added * 4 >= on_first)
}

fn count_served(fleet: &Fleet, path: &str) -> u32 {
    u32::from(fleet.call(0, "GET", path, &[]).status() == 200)
}

/// Crashes the endpoint that runs the next poll, and starts it again after [`DOWN`].
fn crash_one(fleet: &Fleet, crashes: &AtomicBool) {
    crashes.store(true, Ordering::SeqCst);
    fleet.call(0, "GET", POLLED, &[]);
    thread::sleep(DOWN);
    let archives = fleet.nodes.iter().map(|node| &node.endpoint);
    for endpoint in archives.filter(|endpoint| endpoint.has_crashed()) {
        Endpoint::start_again(endpoint);
    }
    thread::sleep(CALM);
}
