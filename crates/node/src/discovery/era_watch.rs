//! What a node does when the store has come back from an older copy.

use std::rc::Rc;

use slog::warn;

use crate::node_core::NodeCore;

/// Watches for eras of the store until the node ends, and has the node write again what it
/// wants to stand there.
///
/// Watches and leases of the era before are given up where they are used. The members are
/// listed anew by those who watch them, and others hear of them from these.
pub async fn watch_eras(core: Rc<NodeCore>) {
    let mut known = core.eras.latest();
    loop {
        let era = core.eras.after(known).await;
        // A node that starts meets the present one first.
        if core.fleet.borrow().revision().number() > 0 {
            warn!(core.log.logger(), "store era changed";
                "before" => known.0, "era" => era.0);
        }
        known = era;
        core.announcement_changed.notify_one();
        core.inbound.broken_runs().requeue_written(core.clock.now());
    }
}
