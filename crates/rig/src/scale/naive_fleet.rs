//! The naive way: every node reads the whole document every second.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use geranium_model::{InForce, platform_keys};
use geranium_platform::PlatformStore;

use super::{
    big_preset::big_preset,
    scale_fleet::{ScaleFleet, wall_clock_ms},
    scale_point::NaivePoint,
};

/// Period of each node's reads.
const PERIOD: Duration = Duration::from_secs(1);
/// Time for which the naive fleet is watched; changes come every two seconds.
const RUN: Duration = Duration::from_secs(8);
/// Time between changes.
const CHANGE_PERIOD: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct NaiveTally {
    bytes: AtomicU64,
    calls: AtomicU64,
    delays_ms: Mutex<Vec<u64>>,
    stop: AtomicBool,
}

/// Runs `count` pollers against the fleet's platform.
pub(super) fn measure(fleet: &mut ScaleFleet, count: usize) -> NaivePoint {
    let tally = Arc::new(NaiveTally::default());
    let pollers: Vec<_> = (0..count)
        .map(|index| {
            let (store, tally) = (Arc::clone(&fleet.store), Arc::clone(&tally));
            let phase = PERIOD.mul_f64(index as f64 / count as f64);
            thread::spawn(move || poll(&*store, &tally, phase))
        })
        .collect();
    thread::sleep(PERIOD * 2);
    lock(&tally.delays_ms).clear();
    let (calls, bytes) = (
        tally.calls.load(Ordering::Relaxed),
        tally.bytes.load(Ordering::Relaxed),
    );
    let changes = (RUN.as_secs() / CHANGE_PERIOD.as_secs()) as u16;
    for change in 0..changes {
        fleet.change(&big_preset(1_000 + change));
        thread::sleep(CHANGE_PERIOD);
    }
    let calls = tally.calls.load(Ordering::Relaxed) - calls;
    let bytes = tally.bytes.load(Ordering::Relaxed) - bytes;
    tally.stop.store(true, Ordering::Relaxed);
    for poller in pollers {
        poller.join().ok();
    }
    let mut delays = std::mem::take(&mut *lock(&tally.delays_ms));
    delays.sort_unstable();
    let at = |share: f64| {
        let index = (delays.len() as f64 * share) as usize;
        delays
            .get(index.min(delays.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    };
    NaivePoint {
        bytes_per_s: bytes as f64 / RUN.as_secs_f64() / count as f64,
        platform_calls_per_s: calls as f64 / RUN.as_secs_f64(),
        change_p99_ms: at(0.99),
        change_max_ms: at(1.0),
    }
}

fn poll(store: &impl PlatformStore, tally: &NaiveTally, phase: Duration) {
    thread::sleep(phase);
    let mut version = 0;
    while !tally.stop.load(Ordering::Relaxed) {
        if let Some(found) = read(store, tally)
            && found.version.get() > version
        {
            version = found.version.get();
            lock(&tally.delays_ms).push(wall_clock_ms().saturating_sub(found.written_at_ms));
        }
        thread::sleep(PERIOD);
    }
}

/// Reads the record and the whole document, as a node without deltas would.
fn read(store: &impl PlatformStore, tally: &NaiveTally) -> Option<InForce> {
    let entry = store.get(platform_keys::IN_FORCE).ok().flatten();
    let record: InForce = serde_json::from_slice(&entry.as_ref()?.value).ok()?;
    let content = store
        .get(&platform_keys::content(record.digest))
        .ok()
        .flatten()?;
    let bytes = entry?.value.len() + content.value.len();
    tally.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    tally.calls.fetch_add(2, Ordering::Relaxed);
    Some(record)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
