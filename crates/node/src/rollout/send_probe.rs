//! Sends the questions of the deciding node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use slog::{error, info, warn};

use super::{ROLLOUT_PATH, RolloutProbe, RolloutReport};
use crate::{node_core::NodeCore, transport::PeerCall};

/// Timeout of a question to another node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks a node; returns none if it doesn't respond in time.
pub(super) async fn send_probe(
    core: Rc<NodeCore>,
    peer_addr: SocketAddr,
    probe: RolloutProbe,
) -> Option<RolloutReport> {
    let body = match serde_json::to_vec(&probe) {
        Ok(body) => Bytes::from(body),
        Err(cause) => {
            error!(core.log.logger(), "rollout probe not encoded"; "cause" => %cause);
            return None;
        }
    };
    let call = PeerCall {
        method: Method::POST,
        path: ROLLOUT_PATH,
        body,
        timeout: PROBE_TIMEOUT,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let sent = call
        .send(&core.peer_connections, peer_addr, idle_timeout)
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(cause) => {
            info!(core.log.logger(), "rollout probe not answered";
                "at" => %peer_addr, "cause" => %cause);
            return None;
        }
    };
    serde_json::from_slice(&response)
        .inspect_err(|cause| {
            warn!(core.log.logger(), "rollout report not decoded";
                "at" => %peer_addr, "cause" => %cause);
        })
        .ok()
}
