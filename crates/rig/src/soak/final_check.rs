//! The state of the fleet after all failures have ended.

use std::{
    thread,
    time::{Duration, Instant},
};

use geranium_load::{LoadOutcome, LoadPlan, MixEntry, run_load};
use serde_json::Value;

use super::Breach;
use crate::{FleetRun, RigError};

/// Wait until the fleet is whole again: a dead node's row takes some forty
/// seconds to leave and come back in the worst case.
pub(super) const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Time between looks.
const POLL: Duration = Duration::from_millis(200);
/// Requests a second through each node, and for how long.
const RATE: f64 = 20.0;
const LENGTH: Duration = Duration::from_secs(2);

/// Waits until each node follows `version` and counts every pair as a taker of
/// work; returns how long it took, or what each node lacks.
pub(super) fn wait_whole(fleet: &FleetRun, version: u64) -> Result<Duration, Vec<Breach>> {
    let started = Instant::now();
    loop {
        let lacks = lacking(fleet, version);
        if lacks.is_empty() {
            return Ok(started.elapsed());
        }
        if started.elapsed() > SETTLE_LIMIT {
            return Err(lacks);
        }
        thread::sleep(POLL);
    }
}

fn lacking(fleet: &FleetRun, version: u64) -> Vec<Breach> {
    let mut lacks = Vec::new();
    for pair in &fleet.pairs {
        let status = page(pair.addresses.admin, "/status");
        let whole = status["version"] == version
            && status["state"] == "live"
            && status["takers"] == fleet.pairs.len();
        if !whole {
            let members = page(pair.addresses.admin, "/members");
            let rows = members.as_array().cloned().unwrap_or_default();
            let short = rows
                .iter()
                .map(|row| format!("{}={}", row["instance"], row["state"]));
            let short: Vec<_> = short.collect();
            lacks.push(Breach {
                at_ms: 0,
                process: format!("{}.node", pair.instance),
                what: format!(
                    "not whole at version {version}: {status}; {}",
                    short.join(" ")
                ),
            });
        }
    }
    lacks
}

/// Reads a page of a node's admin port; null when it doesn't answer.
fn page(admin: std::net::SocketAddr, path: &str) -> Value {
    let sent = attohttpc::get(format!("http://{admin}{path}"))
        .timeout(Duration::from_secs(1))
        .send();
    sent.and_then(attohttpc::Response::json).unwrap_or_default()
}

/// Sends ordinary requests through each node, with one try each, and returns
/// those that failed.
pub(super) fn requests_succeed(
    fleet: &FleetRun,
    mix: &[MixEntry],
) -> Result<(Vec<Breach>, Vec<LoadOutcome>), RigError> {
    let mut breaches = Vec::new();
    let mut outcomes = Vec::new();
    for pair in &fleet.pairs {
        let mut plan = LoadPlan::new(vec![pair.addresses.callers], mix.to_vec());
        plan.rate = RATE;
        plan.duration = LENGTH;
        plan.tries = 1;
        let outcome = run_load(&plan)?;
        let failed = outcome.report.total.failed();
        if failed > 0 {
            let codes = &outcome.report.total.codes;
            breaches.push(Breach {
                at_ms: 0,
                process: format!("{}.node", pair.instance),
                what: format!("{failed} ordinary requests failed at rest, codes {codes:?}"),
            });
        }
        outcomes.push(outcome);
    }
    Ok((breaches, outcomes))
}
