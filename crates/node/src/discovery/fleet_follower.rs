//! Asks other nodes for news.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;
use slog::warn;
use snafu::Snafu;
use tokio::time::{sleep, timeout};

use super::{UPDATE_PATH, update_intake::take_answer};
use crate::{
    distribution::{StoreReachability, UpdateRequest, UpdateResponse, UpdateSource},
    node_core::NodeCore,
    transport::{PeerCall, PeerCallError},
};

/// Longest time that a question waits for news. Within it the relay tells how
/// old its contact with the store is, so a relay that is cut off is passed
/// over a second or two after that shows.
const FOLLOW_WAIT: Duration = Duration::from_secs(2);
/// Longest wait of a question of a node that has no configuration yet: its callers are
/// refused until another node is asked.
const FIRST_WAIT: Duration = Duration::from_millis(400);
/// Time beyond the wait in which the answer has to be here, also over the slowest links.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Pause between questions, in which further news gather.
const FOLLOW_PAUSE: Duration = Duration::from_millis(100);
/// Time between looks while this node watches the store itself.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// Time left to the relay to bring the news itself.
const GUIDE_FIRST: Duration = Duration::from_millis(700);

/// Failure of a question.
#[derive(Debug, Snafu)]
enum FollowError {
    /// The node can't be asked.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// What was met.
        source: PeerCallError,
    },
    /// The answer can't be read.
    #[snafu(display("{source}"), context(false))]
    Malformed {
        /// What was met.
        source: serde_json::Error,
    },
}

/// Asks the relay for news, again and again, while there is one.
///
/// A relay that dies, hangs or is cut off from the store shows as a question that fails,
/// or as news that are old. It is passed over for some seconds; the next one is asked,
/// and with none left the store itself. A relay that the store turns away says so at
/// once, so that a change is in force in time also where every relay is turned away in
/// the same moment.
pub async fn follow_relay(core: Rc<NodeCore>) {
    let mut lost: Option<SocketAddr> = None;
    loop {
        match core.update_source() {
            UpdateSource::Store => {
                let _idle = timeout(IDLE_LOOK, core.watch_duty_changed.notified()).await;
            }
            UpdateSource::Node(peer_addr) => {
                let told_lost = follow(&core, peer_addr, lost == Some(peer_addr)).await;
                lost = told_lost.then_some(peer_addr);
                sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}

/// Asks a relay once, and returns whether it has lost the store.
async fn follow(core: &NodeCore, peer_addr: SocketAddr, lost_known: bool) -> bool {
    let wait = if core.version().0 == 0 {
        FIRST_WAIT
    } else {
        FOLLOW_WAIT
    };
    let question = question(core, wait, lost_known);
    let answer = ask(core, peer_addr, question).await;
    let now = core.clock.now();
    let lost = match answer {
        Ok(answer) => {
            let contact = StoreReachability {
                age: Duration::from_millis(answer.store_age_ms),
                lost: answer.store_lost,
            };
            if contact.lost && !lost_known {
                warn!(core.log.logger(), "guide has lost the store";
                    "at" => %peer_addr, "version" => core.version().0,
                    "answered_ms_ago" => answer.store_age_ms);
            }
            if lost_known && !contact.lost {
                core.record_store_reached(peer_addr);
            }
            if core
                .relay_selector
                .borrow_mut()
                .record_reachability(now, peer_addr, contact)
            {
                core.recheck_store();
            }
            take_answer(core, peer_addr, answer);
            contact.lost
        }
        Err(cause) => {
            warn!(core.log.logger(), "guide lost";
                "at" => %peer_addr, "version" => core.version().0, "cause" => %cause);
            core.relay_selector
                .borrow_mut()
                .record_relay_failure(now, peer_addr);
            false
        }
    };
    core.watch_duty_changed.notify_waiters();
    lost
}

/// Asks nodes that are ahead for a newer configuration.
///
/// When the relay hangs, or the store turns this node away while it has no relay, the
/// rest of the fleet follows a change and this node's callers are served by an older
/// configuration. Nodes name the version that they hold with every request and answer.
/// When a later one is heard and the relay doesn't bring it soon, that node is asked.
pub async fn catch_up(core: Rc<NodeCore>) {
    loop {
        core.newer_config_known.notified().await;
        if core.version().0 > 0 {
            sleep(GUIDE_FIRST).await;
        }
        let Some((version, peer_addr)) = core.newer_config_at.borrow_mut().take() else {
            continue;
        };
        if version <= core.version() {
            continue;
        }
        match ask(&core, peer_addr, question(&core, Duration::ZERO, true)).await {
            Ok(answer) => take_answer(&core, peer_addr, answer),
            Err(cause) => warn!(core.log.logger(), "node ahead not reached";
                "at" => %peer_addr, "version" => version.0, "cause" => %cause),
        }
    }
}

fn question(core: &NodeCore, wait: Duration, lost_known: bool) -> UpdateRequest {
    UpdateRequest {
        version: core.version(),
        members: core.fleet.borrow().revision(),
        wait,
        lost_known,
    }
}

async fn ask(
    core: &NodeCore,
    peer_addr: SocketAddr,
    question: UpdateRequest,
) -> Result<UpdateResponse, FollowError> {
    let call = PeerCall {
        method: Method::GET,
        path: format!("{UPDATE_PATH}?{question}"),
        body: Bytes::new(),
        time: question.wait + ANSWER_TIME,
    };
    let whole = call
        .send(
            &core.peer_connections,
            peer_addr,
            core.settings.peer_idle_timeout,
        )
        .await?;
    Ok(serde_json::from_slice(&whole)?)
}
