//! Telling other nodes of crashes.

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

/// Time for which a crash stands in the store. Every node reads it within a second or two
/// and remembers it by itself.
pub(super) const CRASH_LEASE: Duration = Duration::from_secs(30);
/// Pause after the store has failed to take in a crash.
const STORE_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a crash isn't written any more: callers' automatic resends end by then.
const STORE_TIME: Duration = Duration::from_secs(600);
/// Longest wait for the nodes that are told of a crash. The senders of broken runs wait for
/// it.
const TELL_TIME: Duration = Duration::from_millis(100);
/// Pauses before nodes that couldn't be told are told again.
const TELL_AGAIN: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Tells the nodes beside the other backend servers of the service, and returns once they
/// know or can't be reached in time; those are told again later.
pub(super) async fn tell_peers(core: &Rc<NodeCore>, rows: &[CrashRecord]) {
    let body = match serde_json::to_vec(rows) {
        Ok(body) => Bytes::from(body),
        Err(cause) => {
            error!(core.log.logger(), "crash not written"; "cause" => %cause);
            return;
        }
    };
    let begun = Instant::now();
    let peers = core.crash_peers();
    let told = peers.len();
    let missed = tell(core, peers, &body).await;
    info!(core.log.logger(), "crash told to peers";
        "nodes" => told,
        "missed" => missed.len(),
        "took_ms" => begun.elapsed().as_millis() as u64);
    if !missed.is_empty() {
        spawn_local(tell_again(Rc::clone(core), missed, body));
    }
}

async fn tell_again(core: Rc<NodeCore>, mut missed: Vec<SocketAddr>, body: Bytes) {
    for pause in TELL_AGAIN {
        sleep(pause).await;
        missed = tell(&core, missed, &body).await;
        if missed.is_empty() {
            return;
        }
    }
    warn!(core.log.logger(), "peers not told of a crash"; "nodes" => missed.len());
}

/// Tells nodes of crashes, all at once, and returns those that couldn't be told.
async fn tell(core: &Rc<NodeCore>, peers: Vec<SocketAddr>, body: &Bytes) -> Vec<SocketAddr> {
    let mut calls = JoinSet::new();
    for peer_addr in peers {
        let core = Rc::clone(core);
        let call = PeerCall {
            method: Method::POST,
            path: CRASH_PATH,
            body: body.clone(),
            time: TELL_TIME,
        };
        calls.spawn_local(async move {
            let told = call
                .send(
                    &core.peer_connections,
                    peer_addr,
                    core.settings.peer_idle_timeout,
                )
                .await;
            told.is_err().then_some(peer_addr)
        });
    }
    let missed = calls.join_all().await;
    missed.into_iter().flatten().collect()
}

/// Writes crashes to the store, as soon as it takes them, for nodes that don't hear of them
/// otherwise.
pub(super) async fn store_crash(
    core: Rc<NodeCore>,
    store: Rc<impl MetaStore>,
    rows: Vec<CrashRecord>,
) {
    let begun = Instant::now();
    while begun.elapsed() < STORE_TIME {
        core.until_store_back().await;
        match write(&core, &*store, &rows).await {
            Ok(revision) => {
                info!(core.log.logger(), "crash told"; "revision" => revision.0);
                let now = core.clock.now();
                for row in &rows {
                    let mut crashes = core.crashes.borrow_mut();
                    crashes.record(now, row.clone(), revision);
                }
                core.inbound.broken_runs().remember_written(now, rows);
                return;
            }
            Err(cause) => warn!(core.log.logger(), "crash not told"; "cause" => %cause),
        }
        sleep(STORE_PAUSE).await;
    }
}

async fn write(
    core: &NodeCore,
    store: &impl MetaStore,
    rows: &[CrashRecord],
) -> Result<Revision, StoreError> {
    let Some(first) = rows.first() else {
        return Ok(Revision(0));
    };
    let value = serde_json::to_vec(rows).map_err(|error| StoreError::Unexpected {
        reason: error.to_string(),
    })?;
    core.metrics.record_store_call("tell-crash");
    let grant = store.grant(CRASH_LEASE).await?;
    let key = format!("{CRASH_PREFIX}{}-{:x}", first.start, first.fingerprint);
    let write = StoreWrite::leased(&key, &value, Revision(0), grant.lease);
    match store.commit(&[write]).await {
        // A write whose answer was lost stands there already, under another lease.
        Err(StoreError::Conflict { .. }) => Ok(Revision(0)),
        written => written,
    }
}
