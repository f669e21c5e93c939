//! A faulty endpoint sends one extra answer late: a 421 with the id of an earlier request.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use super::{ORDERS, PRICES, lookups_and_orders, publish};
use crate::{
    Verdict,
    endpoint::{refusal_421, serve_soundly, success},
    fleet::Fleet,
};

/// Callers that send orders at the same time, so that both endpoints get some.
const CALLERS: u32 = 4;
const ORDERS_EACH: u32 = 60;
/// Time that an order takes.
const WORK: Duration = Duration::from_millis(50);
/// Sound answers of the faulty endpoint before its extra one, which is less than 0.03 of them.
const SOUND_ANSWERS: u32 = 40;
/// Time between orders, in which connections to endpoints stay open.
const PAUSE: Duration = Duration::from_millis(50);

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    publish(fleet, 1, &[PRICES, ORDERS], &lookups_and_orders());
    fleet.add(PRICES, None, Box::new(serve_soundly));
    fleet.add(ORDERS, None, Box::new(serve_soundly));
    let is_faulty = Arc::new(AtomicBool::new(has_trouble));
    add_faulty(fleet, Arc::clone(&is_faulty));
    fleet.settle()?;
    for endpoint in fleet.nodes.iter().map(|node| &node.endpoint) {
        *endpoint.work.lock().unwrap() = WORK;
    }
    let fleet = &*fleet;
    let held = thread::scope(|scope| {
        let callers = (0..CALLERS).map(|caller| scope.spawn(move || send_orders(fleet, caller)));
        let callers: Vec<_> = callers.collect();
        callers.into_iter().all(|caller| caller.join().unwrap())
    });
    if is_faulty.load(Ordering::SeqCst) {
        return Err("the extra answer wasn't sent".to_owned());
    }
    Ok(held)
}

/// Sends orders one after the other, and returns whether the rule held for all.
fn send_orders(fleet: &Fleet, caller: u32) -> bool {
    let mut held = true;
    for number in 0..ORDERS_EACH {
        let call = fleet.call(0, "POST", &format!("/o/{caller}-{number}"), &[]);
        thread::sleep(PAUSE);
        let runs = fleet.record.runs_of(&call.id).len();
        let status = call.status();
        let promises_not_run = matches!(status, 408 | 421 | 429 | 503);
        if runs > 1 || (promises_not_run && runs > 0) {
            let id = &call.id;
            fleet.record.note(&format!(
                "BROKEN   {id} ran {runs} times, answered {status}"
            ));
            held = false;
        }
    }
    held
}

/// Adds a node whose endpoint, while faulty, sends one extra answer where the next one is expected.
fn add_faulty(fleet: &mut Fleet, is_faulty: Arc<AtomicBool>) {
    let (last_id, answers) = (Mutex::new(String::new()), AtomicU32::new(0));
    fleet.add(
        ORDERS,
        None,
        Box::new(move |endpoint, request, has_answered, stream| {
            let id = request.header("x-geraniumspring-request-id").to_owned();
            let earlier = std::mem::replace(&mut *last_id.lock().unwrap(), id.clone());
            let is_due = answers.fetch_add(1, Ordering::SeqCst) >= SOUND_ANSWERS && has_answered;
            if is_due && is_faulty.swap(false, Ordering::SeqCst) {
                let instance = endpoint.instance.lock().unwrap().clone();
                endpoint
                    .record
                    .note(&format!("extra    421 with the id of {earlier}"));
                stream.write_all(&refusal_421(&earlier, &instance))?;
            }
            let work = *endpoint.work.lock().unwrap();
            thread::sleep(work);
            Ok(success(&id))
        }),
    );
}
