//! Stops a node.

use std::{rc::Rc, time::Duration};

use slog::info;
use tokio::time::{Instant, sleep};

use super::{CALLER_DRAIN_TIME, ShutdownSchedule, send_stop_notices::send_stop_notices};
use crate::node_core::NodeCore;

/// Time between checks for open listeners and connections.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of checks for open connections once the listeners are shut. By then each
/// connection sends its last response or is idle. Callers that don't read keep theirs open.
const CONNECTION_CHECKS_MAX: u32 = 40;
/// Smallest number of these checks. A process that stood still until after its end still has callers
/// to respond to, and some time before it is killed.
const CONNECTION_CHECKS_MIN: u32 = 4;
/// Time between checks for open requests while the node stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops a node: finishes open requests and returns when the process may end.
///
/// Callers are served for [`CALLER_DRAIN_TIME`], in which readiness checks take the node
/// out of use. Other nodes' requests are served for the leaving grace time, then refused,
/// and those nodes retry elsewhere.
pub async fn stop_node(core: &Rc<NodeCore>) {
    let begun = Instant::now();
    info!(core.log.logger(), "stopping"; "open" => core.open_requests.get());
    let schedule = core.begin_shutdown();
    send_stop_notices(core, schedule);
    while core.clock.now() < schedule.closes_at() {
        if begun.elapsed() >= CALLER_DRAIN_TIME && core.open_requests.get() == 0 {
            break;
        }
        sleep(STOP_POLL_INTERVAL).await;
    }
    core.closing.send_replace(true);
    until_closed(core, schedule).await;
    info!(core.log.logger(), "stopped";
        "open" => core.open_requests.get(),
        "took_ms" => begun.elapsed().as_millis() as u64);
}

/// Waits until listeners and connections are closed, at the latest until the end of the schedule or,
/// if that has passed, for [`CONNECTION_CHECKS_MIN`] checks.
///
/// The wait for connections is limited by a number of checks. On a busy machine the process may
/// stand still for longer than they take, and has to answer afterwards what arrived meanwhile.
async fn until_closed(core: &NodeCore, schedule: ShutdownSchedule) {
    let has_time = || core.clock.now() < schedule.ends_at();
    while core.open_listeners.get() > 0 && has_time() {
        sleep(CLOSE_POLL_INTERVAL).await;
    }
    for check in 0..CONNECTION_CHECKS_MAX {
        let is_over = check >= CONNECTION_CHECKS_MIN && !has_time();
        if core.open_connections.get() == 0 || is_over {
            return;
        }
        sleep(CLOSE_POLL_INTERVAL).await;
    }
}
