//! The cases of the review, each in a module of its own.

mod large_answer;
mod late_heartbeat;
mod late_refusal;
mod long_key;
mod polled_request;

use std::{thread, time::Duration};

use geranium_standins::{AccountEntry, CONFIG_KEY, RouteEntry, account_document, route_document};

use crate::{Verdict, fleet::Fleet};

/// Service whose endpoints answer lookups.
const PRICES: &str = "prices";
/// Service whose endpoints run orders.
const ORDERS: &str = "orders";

/// Runs a case and returns whether its rule held.
pub fn run(case: &str, fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    match case {
        "late-refusal" => late_refusal::run(fleet, has_trouble),
        "long-key" => long_key::run(fleet, has_trouble),
        "large-answer" => large_answer::run(fleet, has_trouble),
        "polled-request" => polled_request::run(fleet, has_trouble),
        "late-heartbeat" => late_heartbeat::run(fleet, has_trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Routes of most cases: lookups and orders.
fn lookups_and_orders() -> [RouteEntry; 2] {
    [
        RouteEntry::new("/p/", "safe", PRICES),
        RouteEntry::new("/o/", "unsafe", ORDERS),
    ]
}

/// Writes a configuration without accounts, as the operator does.
fn publish(fleet: &Fleet, version: u64, services: &[&str], routes: &[RouteEntry]) {
    let document = route_document(version, services, routes);
    put_config(fleet, &document);
}

/// Writes a configuration with lookups, orders and accounts, as the operator does.
fn publish_accounts(fleet: &Fleet, version: u64, accounts: &[AccountEntry]) {
    let services = [PRICES, ORDERS];
    let document = account_document(version, &services, &lookups_and_orders(), accounts);
    put_config(fleet, &document);
}

fn put_config(fleet: &Fleet, document: &str) {
    let mut state = fleet.store.state();
    state.operator_put(CONFIG_KEY, document.as_bytes());
}

/// Sends 100 orders from the machine of `node`, more at a time than one endpoint has slots.
fn send_orders(fleet: &Fleet, node: usize) {
    const CALLERS: u32 = 20;
    const ORDERS_EACH: u32 = 5;
    const STAGGER: Duration = Duration::from_millis(4);
    for endpoint in fleet.nodes.iter().map(|node| &node.endpoint) {
        *endpoint.work.lock().unwrap() = Duration::from_millis(100);
    }
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                thread::sleep(STAGGER * caller);
                for number in 0..ORDERS_EACH {
                    fleet.call(node, "POST", &format!("/o/{caller}-{number}"), &[]);
                }
            });
        }
    });
}
