//! Queries of a node that has just started for the backend servers that have left.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use rand::seq::IteratorRandom;
use slog::{info, warn};
use tokio::time::sleep;

use super::LEAVING_PATH;
use crate::{member::MemberRecord, node_core::NodeCore, transport::PeerCall};

/// Number of nodes that are asked. One of them may have just started as well.
const SOURCES_MAX: usize = 3;
/// Number of nodes that are tried before this node goes without a response.
const TRIES_MAX: usize = 12;
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after its start within which a node asks.
const QUERY_TIME: Duration = Duration::from_secs(30);
/// Pause before a further node is asked.
const QUERY_PAUSE: Duration = Duration::from_millis(200);

/// Asks other nodes once which starts have left, as this node's earlier processes knew.
///
/// An acknowledged leaving binds this process as well. Its announcement may have ended with its
/// lease, or may be lost in a store that was restored from an older copy. Without this knowledge, a
/// late report would be taken for news.
pub async fn query_leavings(core: Rc<NodeCore>) {
    if core.settings.first_start {
        return;
    }
    let mut asked: HashSet<SocketAddr> = HashSet::from([core.settings.peer_addr]);
    let mut sources = 0;
    let mut tries = 0;
    while sources < SOURCES_MAX && tries < TRIES_MAX && core.clock.now() < QUERY_TIME {
        let Some(peer_addr) = draw_source(&core, &asked) else {
            sleep(QUERY_PAUSE).await;
            continue;
        };
        asked.insert(peer_addr);
        tries += 1;
        if query(&core, peer_addr).await {
            sources += 1;
        } else {
            sleep(QUERY_PAUSE).await;
        }
    }
}

/// Draws a node that hasn't been asked yet, among the members that may be reached.
fn draw_source(core: &NodeCore, asked: &HashSet<SocketAddr>) -> Option<SocketAddr> {
    let fleet = core.fleet.borrow();
    let reachable = fleet.reachable(core.clock.now());
    reachable
        .filter(|peer_addr| !asked.contains(peer_addr))
        .choose(&mut rand::rng())
}

/// Asks one node, and returns whether it responded.
async fn query(core: &NodeCore, peer_addr: SocketAddr) -> bool {
    let call = PeerCall {
        method: Method::GET,
        path: LEAVING_PATH,
        body: Bytes::new(),
        timeout: QUERY_TIMEOUT,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let response = call
        .send(&core.peer_connections, peer_addr, idle_timeout)
        .await;
    let body = match response {
        Ok(body) => body,
        Err(cause) => {
            info!(core.log.logger(), "query for leavings failed";
                "at" => %peer_addr, "cause" => %cause);
            return false;
        }
    };
    match serde_json::from_slice::<Vec<MemberRecord>>(&body) {
        Ok(records) => {
            core.record_left(&records);
            true
        }
        Err(cause) => {
            warn!(core.log.logger(), "leavings not decoded";
                "at" => %peer_addr, "cause" => %cause);
            false
        }
    }
}
