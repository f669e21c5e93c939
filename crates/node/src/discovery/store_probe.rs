//! Probes an unavailable store until it responds again.

use std::rc::Rc;

use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::own_key;
use crate::{
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency},
};

/// Probes the store after each failed call until it responds.
///
/// The task runs until the node ends.
pub async fn probe_store(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let key = own_key(&core);
    loop {
        core.store_lost.notified().await;
        while until_probe_due(&core).await {
            core.metrics.record_store_call("look");
            let probe_result = store
                .read(key.as_str(), ReadConsistency::Serializable)
                .await;
            let mut access = core.store_access.borrow_mut();
            if probe_result.is_ok() {
                access.record_probe_success();
            } else {
                // The loss was logged when the first call failed.
                access.record_failure();
                drop(access);
                core.notify_store_lost();
            }
        }
        core.store_back.notify_waiters();
    }
}

/// Waits until a probe is due; returns false if the store may be called again.
///
/// The pause is computed again whenever the node's duty changes, since a node that loses
/// its relay must probe the store itself soon.
async fn until_probe_due(core: &NodeCore) -> bool {
    let started = Instant::now();
    let share: f64 = rand::rng().random();
    loop {
        if core.store_access.borrow().allows_calls() {
            return false;
        }
        let pause = core
            .store_access
            .borrow()
            .probe_pause(core.store_probe_duty(), share);
        let due = started + pause;
        if timeout_at(due, core.watch_duty_changed.notified())
            .await
            .is_err()
        {
            return true;
        }
    }
}
