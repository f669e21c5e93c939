//! A faulty endpoint sends an extra answer late: a 421 with the id of an earlier request.

use std::{
    io::Write,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
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

/// Orders sent, the first of them to sound endpoints.
const ORDER_COUNT: usize = 24;
const SOUND_COUNT: usize = 8;
/// Time between orders, in which connections to endpoints stay open.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(fleet: &mut Fleet, has_trouble: bool) -> Verdict {
    publish(fleet, 1, &[PRICES, ORDERS], &lookups_and_orders());
    let is_faulty = Arc::new(AtomicBool::new(false));
    fleet.add(PRICES, None, Box::new(serve_soundly));
    for _ in 0..2 {
        add_orders(fleet, Arc::clone(&is_faulty));
    }
    fleet.settle()?;
    let mut held = true;
    for number in 0..ORDER_COUNT {
        is_faulty.store(has_trouble && number >= SOUND_COUNT, Ordering::SeqCst);
        let call = fleet.call(0, "POST", &format!("/o/{number}"), &[]);
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
    Ok(held)
}

/// Adds a node whose endpoint, while faulty, sends the extra answer where the next one is expected.
fn add_orders(fleet: &mut Fleet, is_faulty: Arc<AtomicBool>) {
    let last_id = Mutex::new(String::new());
    fleet.add(
        ORDERS,
        None,
        Box::new(move |endpoint, request, has_answered, stream| {
            let id = request.header("x-geraniumspring-request-id").to_owned();
            let earlier = std::mem::replace(&mut *last_id.lock().unwrap(), id.clone());
            if is_faulty.load(Ordering::SeqCst) && has_answered {
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
