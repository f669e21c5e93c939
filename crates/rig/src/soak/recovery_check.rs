//! Checks that the fleet serves again after the faults have ended.

use std::time::{Duration, Instant};

use geranium_standins::CallerRequest;
use http::Method;
use tokio::time::sleep;

use super::version_probe::PROBE_PREFIX;
use super::{Breach, Promise, version_probe::ProbeRecords, version_probe::probe};
use crate::{CallSender, RigFleet};

/// Longest time to recover: three times what is promised, so that a busy machine
/// breaks no promise.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(45);
/// Interval between checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until each node serves each kind of request and applies the active
/// version. Returns how long that took, and a breach for each condition that wasn't
/// met in time.
pub(super) async fn check_recovery(
    fleet: &RigFleet,
    records: &ProbeRecords,
) -> (Duration, Vec<Breach>) {
    let begun = Instant::now();
    let mut breaches = Vec::new();
    if let Err(error) = fleet.settle(RECOVERY_TIMEOUT).await {
        breaches.push(Breach::new(Promise::Recovered, error.to_string()));
        return (begun.elapsed(), breaches);
    }
    for (number, node) in fleet.nodes.iter().enumerate() {
        let sender = CallSender::new(node.machine().addrs.callers);
        for path in ["/p/", "/o/", "/f/"] {
            let mut tries = 0;
            while !serves(&sender, number, path, &mut tries).await {
                if begun.elapsed() > RECOVERY_TIMEOUT {
                    let what = format!("node {number} doesn't serve {path}");
                    breaches.push(Breach::new(Promise::Recovered, what));
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        while probe(&sender, records, fleet.version()).await != Some(true) {
            if begun.elapsed() > RECOVERY_TIMEOUT {
                let what = format!("node {number} doesn't apply version {}", fleet.version());
                breaches.push(Breach::new(Promise::InForce, what));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    (begun.elapsed(), breaches)
}

async fn serves(sender: &CallSender, node: usize, path: &str, tries: &mut u32) -> bool {
    *tries += 1;
    let call = CallerRequest {
        id: format!("{PROBE_PREFIX}last-{node}{}{tries}", path.replace('/', "-")),
        method: if path == "/o/" {
            Method::POST
        } else {
            Method::GET
        },
        path: format!("{path}last"),
        deadline: Duration::from_secs(2),
        body: String::new(),
    };
    let sent = sender.send(&call, false, None).await;
    matches!(sent.outcome, crate::CallOutcome::Answered { answer, .. } if answer.status == 200)
}
