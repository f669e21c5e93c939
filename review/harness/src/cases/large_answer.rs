//! The first answer on a route that was added is large.

use std::{thread, time::Duration};

use geranium_standins::RouteEntry;

use super::{PRICES, publish};
use crate::{
    Verdict,
    endpoint::{answer, serve_soundly},
    fleet::Fleet,
};

const ARCHIVE: &str = "archive";
/// Length of the large answer. The link of a machine carries it in 0.71 s.
const LARGE_BYTES: usize = 540_000;
/// `TimeoutS` and `TargetLatencyS` of the added route, in seconds.
const TIMEOUT_S: f64 = 0.8;
const TARGET_LATENCY_S: f64 = 0.4;
/// Part of the settings that is replaced: the link of each machine has 6.5 Mbit/s.
const LINK: (&str, &str) = ("LinkMbps = 1000.0", "LinkMbps = 6.5");
/// Time in which an added route is in force.
const CONFIG_WAIT: Duration = Duration::from_secs(4);
/// Time from the large answer to the requests that are counted.
const CALM: Duration = Duration::from_secs(6);
const REQUESTS: u32 = 60;
const PAUSE: Duration = Duration::from_millis(500);

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let services = [PRICES, ARCHIVE];
    let first = RouteEntry::new("/p/", "safe", PRICES);
    let added = RouteEntry::new("/a/", "download", ARCHIVE)
        .with_timeout(TIMEOUT_S)
        .with_target_latency(TARGET_LATENCY_S);
    publish(fleet, 1, &services, std::slice::from_ref(&first));
    for service in [PRICES, ARCHIVE, PRICES] {
        add(fleet, service, has_trouble);
    }
    fleet.settle()?;
    publish(fleet, 2, &services, &[first, added]);
    fleet.record.note("version 2 adds the route /a/");
    thread::sleep(CONFIG_WAIT);
    let large = fleet.call(0, "GET", "/a/large", &[]);
    let bytes = large.answer.as_ref().map_or(0, |answer| answer.body.len());
    fleet
        .record
        .note(&format!("the answer to {} has {bytes} bytes", large.id));
    if large.status() != 200 {
        return Err(format!("the first answer is {}", large.status()));
    }
    thread::sleep(CALM);
    let (mut on_first, mut on_added) = (0, 0);
    for number in 0..REQUESTS {
        on_first += count_served(fleet, &format!("/p/{number}"));
        on_added += count_served(fleet, &format!("/a/{number}"));
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

/// Adds a node with a sound endpoint; its answer to `/a/large` is large with the trouble.
fn add(fleet: &mut Fleet, service: &str, has_trouble: bool) {
    fleet.add_with(
        service,
        None,
        &[LINK],
        Box::new(move |endpoint, request, has_answered, stream| {
            if !has_trouble || request.path() != "/a/large" {
                return serve_soundly(endpoint, request, has_answered, stream);
            }
            let id = request.header("x-geraniumspring-request-id");
            let headers = [
                ("X-Geraniumspring-Request-Id", id),
                ("X-Geraniumspring-Response-Signature", "3e1b.07.5a2"),
            ];
            Ok(answer(200, &headers, &vec![b'a'; LARGE_BYTES]))
        }),
    );
}
