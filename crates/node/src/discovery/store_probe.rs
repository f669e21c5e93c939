//! Looks whether the store is back.

use std::rc::Rc;

use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::own_key;
use crate::{
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency},
};

/// Looks whether the store answers again, whenever a call to it failed, until
/// the node ends.
pub async fn probe_store(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let key = own_key(&core);
    loop {
        core.store_lost.notified().await;
        while until_look_due(&core).await {
            core.metrics.record_store_call("look");
            let looked = store
                .read(key.as_str(), ReadConsistency::Serializable)
                .await;
            let mut access = core.store_access.borrow_mut();
            if looked.is_ok() {
                access.record_probe_success();
            } else {
                // It was logged as lost when the first call failed.
                access.record_failure();
                drop(access);
                core.notify_store_lost();
            }
        }
        core.store_back.notify_waiters();
    }
}

/// Waits until the next look is due; false when the store is back meanwhile.
///
/// The pause is chosen anew whenever the node's duty changes: a follower that loses its
/// relay must look by itself soon.
async fn until_look_due(core: &NodeCore) -> bool {
    let since = Instant::now();
    let share: f64 = rand::rng().random();
    loop {
        if core.store_access.borrow().is_open() {
            return false;
        }
        let pause = core
            .store_access
            .borrow()
            .pause(core.store_probe_duty(), share);
        let due = since + pause;
        if timeout_at(due, core.watch_duty_changed.notified())
            .await
            .is_err()
        {
            return true;
        }
    }
}
