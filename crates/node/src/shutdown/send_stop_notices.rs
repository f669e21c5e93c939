//! Sends the notice of a stopping node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use slog::{error, info, warn};
use tokio::{task::spawn_local, time::sleep};

use super::{STOP_NOTICE_PATH, ShutdownSchedule, StopNotice};
use crate::{
    node_core::NodeCore,
    transport::{PeerCall, PeerCallError},
};

/// Timeout of a notice. One that is handled late names an end that is too late by as much.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// Tries of a notice.
const NOTICE_TRIES: u32 = 2;
/// Pause after a notice that wasn't delivered.
const NOTICE_PAUSE: Duration = Duration::from_millis(300);

/// Tells the nodes that run requests of this one until when it can pass on their responses.
///
/// Requests that are forwarded later carry the bounded deadline. These were forwarded with the
/// deadlines of their callers.
pub(super) fn send_stop_notices(core: &Rc<NodeCore>, schedule: ShutdownSchedule) {
    let own_addr = core.settings.peer_addr;
    let peers: Vec<_> = core.peers_in_use.borrow().addrs().collect();
    for peer_addr in peers.into_iter().filter(|&peer_addr| peer_addr != own_addr) {
        spawn_local(send_notice(Rc::clone(core), peer_addr, schedule));
    }
}

/// Sends a notice, and again after a pause if the other node isn't reached.
async fn send_notice(core: Rc<NodeCore>, peer_addr: SocketAddr, schedule: ShutdownSchedule) {
    let idle_timeout = core.settings.peer_idle_timeout;
    for _ in 0..NOTICE_TRIES {
        let Some(body) = notice_body(&core, schedule) else {
            return;
        };
        let call = PeerCall {
            method: Method::POST,
            path: STOP_NOTICE_PATH,
            body,
            timeout: NOTICE_TIMEOUT,
        };
        let sent = call
            .send(&core.peer_connections, peer_addr, idle_timeout)
            .await;
        match sent {
            Ok(_) => return,
            // A node of a version that doesn't know notices.
            Err(PeerCallError::Refused { status }) => {
                info!(core.log.logger(), "stop notice refused";
                    "to" => %peer_addr, "status" => status.as_u16());
                return;
            }
            Err(cause) => warn!(core.log.logger(), "stop notice not delivered";
                "to" => %peer_addr, "cause" => %cause),
        }
        sleep(NOTICE_PAUSE).await;
    }
}

fn notice_body(core: &NodeCore, schedule: ShutdownSchedule) -> Option<Bytes> {
    let ends_at = schedule.peer_responses_at();
    let remaining = ends_at.saturating_sub(core.clock.now());
    let notice = StopNotice {
        from: core.settings.peer_addr,
        remaining_ms: remaining.as_millis() as u64,
    };
    let body = serde_json::to_vec(&notice);
    let body = body.inspect_err(|cause| {
        error!(core.log.logger(), "stop notice not encoded"; "cause" => %cause);
    });
    body.ok().map(Bytes::from)
}
