//! Sends questions for tokens to the owners of shards.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::Method;
use slog::{error, warn};
use snafu::Snafu;
use tokio::task::{spawn_local, yield_now};

use super::{QUOTA_PATH, QuotaAsk, QuotaCall, QuotaReply, ShardId};
use crate::{
    boot_clock::BootClock,
    node_core::NodeCore,
    transport::{PeerCall, PeerCallError},
};

/// Longest time of a call to an owner before the next shard is asked.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Failure of a call to an owner.
#[derive(Debug, Snafu)]
enum AskError {
    /// The call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Failure of the call.
        source: PeerCallError,
    },
    /// The call can't be encoded, or its answer can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Failure of the JSON encoder or decoder.
        source: serde_json::Error,
    },
}

/// Queues a question for the owner of a shard.
///
/// Questions that are queued in the same turn of the event loop go out in one call.
pub(super) fn queue_ask(core: &Rc<NodeCore>, shard: ShardId, ask: QuotaAsk) {
    let Some(quota) = &core.quota else {
        return;
    };
    if quota.queue_ask(shard, ask) {
        spawn_local(send_queued(Rc::clone(core), shard));
    }
}

async fn send_queued(core: Rc<NodeCore>, shard: ShardId) {
    yield_now().await;
    let Some(quota) = &core.quota else {
        return;
    };
    let asks = quota.take_asks(shard);
    let sent_at = BootClock::now();
    let Some(owner) = quota.owner(shard) else {
        quota.record_failure(BootClock::now(), shard, &asks);
        return;
    };
    if owner.at == core.settings.peer_addr {
        quota.until_handed_over(shard).await;
        let reply = quota.grant(BootClock::now(), shard, &asks, true);
        quota.record_reply(BootClock::now(), sent_at, shard, &asks, owner.at, &reply);
        return;
    }
    match send_call(&core, owner.at, shard, &asks).await {
        Ok(reply) => {
            quota.record_reply(BootClock::now(), sent_at, shard, &asks, owner.at, &reply);
        }
        Err(cause) => {
            quota.record_failure(BootClock::now(), shard, &asks);
            if let Some(log) = core.log.for_request(core.clock.now(), "quota owner") {
                warn!(log, "quota owner didn't answer";
                    "shard" => shard.number(), "at" => %owner.at, "cause" => %cause);
            }
        }
    }
}

async fn send_call(
    core: &NodeCore,
    owner: SocketAddr,
    shard: ShardId,
    asks: &[QuotaAsk],
) -> Result<QuotaReply, AskError> {
    let message = QuotaCall {
        from: core.settings.peer_addr,
        version: core.version().0,
        shard: shard.number(),
        asks: asks.to_vec(),
    };
    let body = serde_json::to_vec(&message)
        .inspect_err(|cause| {
            error!(core.log.logger(), "quota call not encoded"; "cause" => %cause);
        })?
        .into();
    let call = PeerCall {
        method: Method::POST,
        path: QUOTA_PATH,
        body,
        timeout: CALL_TIMEOUT,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let response_body = call
        .send(&core.peer_connections, owner, idle_timeout)
        .await?;
    Ok(serde_json::from_slice(&response_body)?)
}
