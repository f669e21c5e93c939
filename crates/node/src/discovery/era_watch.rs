//! Reaction of a node to a store that was restored from an older copy.

use std::rc::Rc;

use slog::warn;

use crate::node_core::NodeCore;

/// Writes this node's data again after each new era of the store.
///
/// The task runs until the node ends.
///
/// Other tasks discard watches and leases of the earlier era
/// ([`keep_announced`](super::keep_announced), [`watch_members`](super::watch_members)).
/// Nodes that watch the members list them again, and other nodes get them from these nodes.
pub async fn watch_eras(core: Rc<NodeCore>) {
    let mut latest_era = core.eras.latest();
    loop {
        let era = core.eras.after(latest_era).await;
        // At its start a node learns the current era; that is no change.
        if core.fleet.borrow().revision().number() > 0 {
            warn!(core.log.logger(), "store era changed";
                "before" => latest_era.0, "era" => era.0);
        }
        latest_era = era;
        core.announcement_changed.notify_one();
        core.inbound.broken_runs().requeue_written(core.clock.now());
    }
}
