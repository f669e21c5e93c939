//! Takes a newer configuration from another node.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::{
    answer_body::AnswerBody,
    config::{ConfigInput, MeshConfig},
    node_core::NodeCore,
};

/// Path at which a node hands out its configuration to other nodes.
pub const CONFIG_PATH: &str = "/.geranium/config";
/// Time left to the store to bring the news itself. It does within some ten
/// milliseconds, plus the pause in which changes gather.
const STORE_FIRST: Duration = Duration::from_millis(700);
/// Longest time that a node may take to hand out its configuration.
const FETCH_TIME: Duration = Duration::from_secs(1);

/// Takes newer configurations from other nodes until this one stops.
///
/// **Failure.** The store turns this node away, or a cut parts them, while
/// the rest of the fleet follows a change: its callers are served by an older
/// configuration for as long as that lasts. **Guard.** Every answer between
/// nodes names the version that the answering node holds. When a later one is
/// heard and the store doesn't bring it soon, it is fetched there.
pub async fn catch_up(core: Rc<NodeCore>) {
    loop {
        core.ahead_heard.notified().await;
        sleep(STORE_FIRST).await;
        let Some((version, hop)) = core.ahead.borrow_mut().take() else {
            continue;
        };
        if version <= core.version() {
            continue;
        }
        match timeout(FETCH_TIME, fetch(&core, hop)).await {
            Ok(Ok(config)) => drop(core.adopt_config(config, "node")),
            Ok(Err(cause)) => warn!(core.log.logger(), "configuration not fetched";
                "from" => %hop, "version" => version.0, "cause" => cause),
            Err(_elapsed) => warn!(core.log.logger(), "configuration not fetched";
                "from" => %hop, "version" => version.0, "cause" => "no answer in time"),
        }
    }
}

async fn fetch(core: &NodeCore, hop: SocketAddr) -> Result<MeshConfig, String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(CONFIG_PATH);
    let idle_time = core.settings.hop_idle;
    let exchange = core.hops.exchange(hop, request, idle_time).await;
    let (response, sender) = exchange.map_err(|error| error.to_string())?;
    let whole = response
        .into_body()
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    core.hops.give_back(sender);
    let input: ConfigInput =
        serde_json::from_slice(&whole.to_bytes()).map_err(|error| error.to_string())?;
    info!(core.log.logger(), "configuration fetched";
        "from" => %hop, "version" => input.version.0);
    MeshConfig::try_from(&input).map_err(|error| error.to_string())
}

/// Answers another node that asks for the configuration.
pub fn config_document(core: &NodeCore) -> Response<AnswerBody> {
    let config = core.config.borrow().clone();
    if let Some(config) = config {
        return Response::new(AnswerBody::whole(config.document.clone()));
    }
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
