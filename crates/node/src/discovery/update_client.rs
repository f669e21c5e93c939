//! Requests updates of the configuration and the members from other nodes.

use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use slog::warn;
use snafu::Snafu;
use tokio::{
    select,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{ConfigSource, UPDATE_PATH, apply_updates::apply_updates, confirm_config::adopt};
use crate::{
    boot_clock::BootClock,
    distribution::{StoreReachability, UpdateRequest, UpdateResponse, UpdateSource, UpdateTiming},
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency},
    transport::{PeerCall, PeerCallError},
};

/// Pause between requests in which further updates are collected.
const UPDATE_PAUSE: Duration = Duration::from_millis(100);
/// Time between checks for a relay while this node watches the store itself.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Failure of a request for updates.
#[derive(Debug, Snafu)]
enum UpdateError {
    /// The call to the node failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Failure of the call.
        source: PeerCallError,
    },
    /// The response can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// Failure of the decoder.
        source: serde_json::Error,
    },
}

/// Polls the relay for updates while there is one.
///
/// A relay that dies, hangs or is cut off from the store is noticed by a request that
/// fails, or by the age of its last contact with the store. It is skipped for some seconds,
/// and the next one is asked, or the store itself when none is left. A relay whose calls
/// the store refuses says so at once, so that a change is in force in time even where the
/// store refuses every relay at the same moment.
///
/// A relay may also hang just as the configuration changes. When its response is overdue, this node
/// reads the configuration from the store itself, without giving up the relay.
pub async fn follow_relay(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: ConfigSource) {
    let timing = UpdateTiming::new(core.settings.config_time);
    let mut lost_relay: Option<SocketAddr> = None;
    loop {
        match core.update_source() {
            UpdateSource::Store => {
                let _idle = timeout(IDLE_CHECK_INTERVAL, core.watch_duty_changed.notified()).await;
            }
            UpdateSource::Node(peer_addr) => {
                let knows_store_lost = lost_relay == Some(peer_addr);
                let request = relay_request(&core, peer_addr, timing, knows_store_lost);
                let response = request_from_relay(&core, peer_addr, request, timing);
                let overdue_after = request.wait + timing.overdue_after;
                let relay_lost_store = when_overdue(response, overdue_after, || {
                    let (core, store) = (Rc::clone(&core), Rc::clone(&store));
                    spawn_local(async move { read_config(&core, &*store, source).await });
                })
                .await;
                lost_relay = relay_lost_store.then_some(peer_addr);
                sleep(UPDATE_PAUSE).await;
            }
        }
    }
}

/// Awaits `response`, and calls `begin_other` once if it takes longer than `overdue_after`.
async fn when_overdue<T>(
    response: impl Future<Output = T>,
    overdue_after: Duration,
    begin_other: impl FnOnce(),
) -> T {
    let mut response = pin!(response);
    select! {
        response = &mut response => return response,
        () = sleep(overdue_after) => begin_other(),
    }
    response.await
}

/// Reads the configuration from the store once, unless store calls are suspended.
async fn read_config(core: &NodeCore, store: &impl MetaStore, source: ConfigSource) {
    if !core.store_access.borrow().allows_calls() {
        return;
    }
    core.metrics.record_store_call("check-config");
    match store.read(source.key, ReadConsistency::Linearizable).await {
        Ok(read) => {
            core.record_store_response();
            if let Some(item) = &read.item {
                adopt(core, source, item);
            }
        }
        Err(failure) => core.record_store_failure("configuration", &failure),
    }
}

fn relay_request(
    core: &NodeCore,
    peer_addr: SocketAddr,
    timing: UpdateTiming,
    knows_store_lost: bool,
) -> UpdateRequest {
    let wait = if core.version().0 == 0 {
        timing.first_wait
    } else if core.needs_proofs() {
        timing.proof_wait
    } else {
        timing.poll_wait
    };
    update_request(core, peer_addr, wait, knows_store_lost)
}

/// Requests updates from the relay once, and returns whether it has lost the store.
async fn request_from_relay(
    core: &NodeCore,
    peer_addr: SocketAddr,
    request: UpdateRequest,
    timing: UpdateTiming,
) -> bool {
    let knows_store_lost = request.knows_store_lost;
    let sent_at = BootClock::now();
    let response = request_updates(core, peer_addr, request, timing).await;
    let now = core.clock.now();
    let relay_lost_store = match response {
        Ok(response) => {
            let reachability = StoreReachability {
                age: Duration::from_millis(response.store_age_ms),
                lost: response.store_lost,
            };
            if reachability.lost && !knows_store_lost {
                warn!(core.log.logger(), "relay has lost the store";
                    "at" => %peer_addr, "version" => core.version().0,
                    "answered_ms_ago" => response.store_age_ms);
            }
            if knows_store_lost && !reachability.lost {
                core.record_store_reached(peer_addr);
            }
            if core
                .relay_selector
                .borrow_mut()
                .record_reachability(now, peer_addr, reachability)
            {
                core.recheck_store();
            }
            let proof = response.proof;
            apply_updates(core, peer_addr, response);
            core.record_relayed_proof(peer_addr, proof, sent_at);
            reachability.lost
        }
        Err(cause) => {
            warn!(core.log.logger(), "request to the relay failed";
                "at" => %peer_addr, "version" => core.version().0, "cause" => %cause);
            core.relay_selector
                .borrow_mut()
                .record_relay_failure(now, peer_addr);
            false
        }
    };
    core.watch_duty_changed.notify_waiters();
    relay_lost_store
}

/// Requests a newer configuration from a node that holds one.
///
/// When the relay hangs, or the store refuses this node while it has no relay, the rest of
/// the fleet adopts a change and this node still serves its callers by the older
/// configuration. Nodes name the version that they hold with every request and response.
/// When this node learns of a newer one and its relay doesn't send it soon, the node that
/// named it is asked.
pub async fn fetch_newer_config(core: Rc<NodeCore>) {
    let timing = UpdateTiming::new(core.settings.config_time);
    loop {
        core.newer_config_known.notified().await;
        if core.version().0 > 0 {
            let wanted = core.key_checks.newer_config_wanted.notified();
            let _wanted = timeout(timing.head_start, wanted).await;
        }
        let Some((version, peer_addr)) = core.newer_config_at.borrow_mut().take() else {
            continue;
        };
        if version <= core.version() {
            continue;
        }
        let request = update_request(&core, peer_addr, Duration::ZERO, true);
        let sent_at = BootClock::now();
        match request_updates(&core, peer_addr, request, timing).await {
            Ok(response) => {
                let proof = response.proof;
                apply_updates(&core, peer_addr, response);
                core.record_relayed_proof(peer_addr, proof, sent_at);
            }
            Err(cause) => warn!(core.log.logger(), "newer configuration not fetched";
                "at" => %peer_addr, "version" => version.0, "cause" => %cause),
        }
    }
}

fn update_request(
    core: &NodeCore,
    peer_addr: SocketAddr,
    wait: Duration,
    knows_store_lost: bool,
) -> UpdateRequest {
    UpdateRequest {
        version: core.version(),
        members: core.fleet.borrow().revision(),
        wait,
        knows_store_lost,
        proof_stamp: core.stamp_from(peer_addr),
        accepts_packed: true,
    }
}

async fn request_updates(
    core: &NodeCore,
    peer_addr: SocketAddr,
    request: UpdateRequest,
    timing: UpdateTiming,
) -> Result<UpdateResponse, UpdateError> {
    let call = PeerCall {
        method: Method::GET,
        path: format!("{UPDATE_PATH}?{request}"),
        body: Bytes::new(),
        timeout: request.wait + timing.response_margin,
    };
    let response_body = call
        .send(
            &core.peer_connections,
            peer_addr,
            core.settings.peer_idle_timeout,
        )
        .await?;
    Ok(serde_json::from_slice(&response_body)?)
}
