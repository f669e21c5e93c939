//! A heartbeat arrives late, after its sender has deregistered and the node was restarted.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{deregistration_body, deregistration_path};

use super::{ORDERS, PRICES, lookups_and_orders, publish, send_orders};
use crate::{Verdict, endpoint::serve_soundly, fleet::Fleet};

/// `DrainS` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// `GraceS` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Longest time in which the node is ready again.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Time after which all machines are in touch again; `TouchS` is 3 s.
const TOUCH: Duration = Duration::from_millis(3_300);
/// Index of the node that is restarted.
const RESTARTED: usize = 2;

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    publish(fleet, 1, &[PRICES, ORDERS], &lookups_and_orders());
    for service in [PRICES, ORDERS, ORDERS] {
        fleet.add(service, None, Box::new(serve_soundly));
    }
    fleet.settle()?;
    let endpoint = Arc::clone(&fleet.nodes[RESTARTED].endpoint);
    endpoint.beats.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_600));
    let late = endpoint.next_heartbeat();
    let sent_at = Instant::now();
    fleet.record.note("a heartbeat is sent, and is held up");
    endpoint.is_leaving.store(true, Ordering::SeqCst);
    let instance = endpoint.instance.lock().unwrap().clone();
    let born_ms = endpoint.born_ms.load(Ordering::SeqCst);
    let path = deregistration_path(&instance);
    let status = endpoint.post(&path, &deregistration_body(born_ms));
    let acked_at = Instant::now();
    fleet
        .record
        .note(&format!("deregistration of {instance} answered {status}"));
    if status != 200 {
        return Err("the deregistration has no ack".to_owned());
    }
    restart(fleet)?;
    if has_trouble {
        let status = endpoint.post(&late.path(), &late.body());
        let late_s = sent_at.elapsed().as_secs_f64();
        fleet.record.note(&format!(
            "the heartbeat arrives {late_s:.1} s late, answered {status}"
        ));
    }
    thread::sleep(TOUCH);
    send_orders(fleet, 0);
    let runs = fleet.record.runs();
    let is_late = |began: Instant| began.saturating_duration_since(acked_at) > DRAIN;
    let late_runs = runs
        .iter()
        .filter(|run| run.instance == instance && is_late(run.began))
        .count();
    fleet.record.note(&format!(
        "{late_runs} of 100 orders reached {instance} later than DrainS after the ack"
    ));
    Ok(late_runs == 0)
}

/// Stops the node beside the endpoint with SIGTERM and starts it again.
fn restart(fleet: &mut Fleet) -> Result<(), String> {
    fleet.record.note("SIGTERM to the node beside it");
    let node = &mut fleet.nodes[RESTARTED];
    node.signal("TERM");
    if !node.wait_end(GRACE) {
        return Err("the node didn't end in GraceS".to_owned());
    }
    node.run();
    let until = Instant::now() + READY_TIMEOUT;
    while !node.is_ready() {
        if Instant::now() >= until {
            return Err("the restarted node isn't ready".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    fleet.record.note("the node runs again and is ready");
    Ok(())
}
