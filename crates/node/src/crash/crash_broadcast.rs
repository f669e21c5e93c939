//! Sends crash records to other nodes, directly and by way of the store.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use slog::{error, info, warn};
use tokio::{
    task::{JoinSet, spawn_local},
    time::{Instant, sleep},
};

use super::{CRASH_PATH, CRASH_PREFIX, CrashRecord};
use crate::{
    node_core::NodeCore,
    store::{MetaStore, Revision, StoreError, StoreWrite},
    transport::PeerCall,
};

/// Time for which a crash stays in the store. Every node reads it within a second or two
/// and then keeps it in memory.
pub(super) const CRASH_LEASE_TIME: Duration = Duration::from_secs(30);
/// Pause after a crash couldn't be written to the store.
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time after which the node gives up writing a crash. Callers' automatic resends end by
/// then.
const STORE_RETRY_TIME: Duration = Duration::from_secs(600);
/// Timeout of a call that notifies another node of crashes. The senders of broken runs wait
/// until these calls end.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);
/// Pauses before each further try to notify nodes that couldn't be reached.
const RETRY_PAUSES: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Sends crashes to the nodes whose backend servers get the same requests.
///
/// Returns once each has responded or missed the timeout; the latter are tried again later.
pub(super) async fn notify_peers(core: &Rc<NodeCore>, records: &[CrashRecord]) {
    let body = match serde_json::to_vec(records) {
        Ok(body) => Bytes::from(body),
        Err(cause) => {
            error!(core.log.logger(), "crash records not encoded"; "cause" => %cause);
            return;
        }
    };
    let begun = Instant::now();
    let peers = core.crash_peers();
    let peer_count = peers.len();
    let missed = send_to_peers(core, peers, &body).await;
    info!(core.log.logger(), "crash told to peers";
        "nodes" => peer_count,
        "missed" => missed.len(),
        "took_ms" => begun.elapsed().as_millis() as u64);
    if !missed.is_empty() {
        spawn_local(retry_peers(Rc::clone(core), missed, body));
    }
}

async fn retry_peers(core: Rc<NodeCore>, mut missed: Vec<SocketAddr>, body: Bytes) {
    for pause in RETRY_PAUSES {
        sleep(pause).await;
        missed = send_to_peers(&core, missed, &body).await;
        if missed.is_empty() {
            return;
        }
    }
    warn!(core.log.logger(), "peers not notified of a crash"; "nodes" => missed.len());
}

/// Sends crashes to nodes, all at once, and returns those not reached.
async fn send_to_peers(
    core: &Rc<NodeCore>,
    peers: Vec<SocketAddr>,
    body: &Bytes,
) -> Vec<SocketAddr> {
    let mut calls = JoinSet::new();
    for peer_addr in peers {
        let core = Rc::clone(core);
        let call = PeerCall {
            method: Method::POST,
            path: CRASH_PATH,
            body: body.clone(),
            timeout: PEER_TIMEOUT,
        };
        calls.spawn_local(async move {
            let sent = call
                .send(
                    &core.peer_connections,
                    peer_addr,
                    core.settings.peer_idle_timeout,
                )
                .await;
            sent.is_err().then_some(peer_addr)
        });
    }
    let missed = calls.join_all().await;
    missed.into_iter().flatten().collect()
}

/// Writes crashes to the store, for the nodes that aren't notified directly.
///
/// Waits while the store is unavailable, and tries again after a failure.
pub(super) async fn store_crashes(
    core: Rc<NodeCore>,
    store: Rc<impl MetaStore>,
    records: Vec<CrashRecord>,
) {
    let begun = Instant::now();
    while begun.elapsed() < STORE_RETRY_TIME {
        core.until_store_back().await;
        match write_crashes(&core, &*store, &records).await {
            Ok(revision) => {
                info!(core.log.logger(), "crash told"; "revision" => revision.0);
                let now = core.clock.now();
                for record in &records {
                    let mut crashes = core.crashes.borrow_mut();
                    crashes.record(now, record.clone(), revision);
                }
                core.inbound.broken_runs().remember_written(now, records);
                return;
            }
            Err(cause) => warn!(core.log.logger(), "crash not written to the store";
                "cause" => %cause),
        }
        sleep(STORE_RETRY_PAUSE).await;
    }
}

async fn write_crashes(
    core: &NodeCore,
    store: &impl MetaStore,
    records: &[CrashRecord],
) -> Result<Revision, StoreError> {
    let Some(first) = records.first() else {
        return Ok(Revision(0));
    };
    let value = serde_json::to_vec(records).map_err(|error| StoreError::Unexpected {
        reason: error.to_string(),
    })?;
    core.metrics.record_store_call("tell-crash");
    let grant = store.grant_lease(CRASH_LEASE_TIME).await?;
    let key = format!("{CRASH_PREFIX}{}-{:x}", first.start, first.fingerprint);
    let write = StoreWrite::leased(&key, &value, Revision(0), grant.lease);
    match store.commit(&[write]).await {
        // An earlier write whose response was lost has created the key under another lease.
        Err(StoreError::Conflict { .. }) => Ok(Revision(0)),
        written => written,
    }
}
