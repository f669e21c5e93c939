//! A configuration takes a key away, and adds one of 300 bytes for another tenant.

use std::{
    thread,
    time::{Duration, Instant},
};

use geranium_standins::AccountEntry;

use super::{ORDERS, PRICES, publish_accounts};
use crate::{Verdict, endpoint::serve_soundly, fleet::Fleet};

/// `RevokeS` of the settings, in which `FailClosed` is true.
const REVOKE_S: f64 = 5.0;
/// Times from the ack of the configuration to requests with the key that it took away: later than
/// `ConfigS`, which is 2.5 s, and later than `RevokeS`.
const WAITS: [Duration; 2] = [Duration::from_millis(3_000), Duration::from_millis(6_000)];
const REQUESTS: usize = 10;
const LONG_KEY_BYTES: usize = 300;
const SHORT_KEY_BYTES: usize = 30;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    let harbour = |keys: &[&str]| AccountEntry::new("harbour", keys);
    let yard = |keys: &[&str]| AccountEntry::new("yard", keys);
    publish_accounts(fleet, 1, &[harbour(&["key-1", "key-2"]), yard(&["key-3"])]);
    for service in [PRICES, ORDERS, ORDERS] {
        fleet.add(service, Some(REVOKE_S), Box::new(serve_soundly));
    }
    fleet.settle()?;
    thread::sleep(Duration::from_secs(1));
    let taken = [("Authorization", "Bearer key-1")];
    let before = fleet.call(0, "POST", "/o/before", &taken);
    if before.status() != 200 {
        return Err(format!("key-1 doesn't work: {}", before.status()));
    }
    let bytes = if has_trouble {
        LONG_KEY_BYTES
    } else {
        SHORT_KEY_BYTES
    };
    let added = "k".repeat(bytes);
    publish_accounts(fleet, 2, &[harbour(&["key-2"]), yard(&["key-3", &added])]);
    let acked_at = Instant::now();
    fleet.record.note(&format!(
        "version 2 takes key-1 away and adds a key of {bytes} bytes"
    ));
    let mut runs = 0;
    for wait in WAITS {
        thread::sleep((acked_at + wait).saturating_duration_since(Instant::now()));
        let ran = count_runs(fleet, &taken);
        fleet.record.note(&format!(
            "{ran} of {REQUESTS} requests with key-1 ran, sent {wait:?} after the ack"
        ));
        runs += ran;
    }
    let bearer = format!("Bearer {added}");
    fleet.call(0, "POST", "/o/added", &[("Authorization", &bearer)]);
    Ok(runs == 0)
}

/// Sends requests with a key, and returns how many ran.
fn count_runs(fleet: &Fleet, key: &[(&str, &str)]) -> usize {
    let calls = (0..REQUESTS).map(|number| fleet.call(0, "POST", &format!("/o/{number}"), key));
    let runs = calls.map(|call| fleet.record.runs_of(&call.id).len());
    runs.sum()
}
