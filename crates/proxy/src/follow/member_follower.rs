//! Keeps the view of the members.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use slog::{error, info, warn};
use tokio::time::sleep;

use super::{MEMBER_PREFIX, StorePause};
use crate::{
    member::MemberRecord,
    node_core::NodeCore,
    store::{MetaStore, Revision, StoreError, StoreEvent, StoreItem},
};

/// Longest wait of a watch; the store allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(29);
/// Pause after a change, in which further ones gather: each watch costs a
/// call, and until the news is here the doors refuse what comes too late.
const GATHER: Duration = Duration::from_millis(250);

/// Keeps the view of the members until the node stops.
pub async fn follow_members(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let mut pause = StorePause::default();
    let mut after: Option<Revision> = None;
    loop {
        let step = match after {
            None => list_members(&core, &*store).await,
            Some(revision) => watch_members(&core, &*store, revision).await,
        };
        match step {
            Ok(revision) => {
                if pause.is_failing() {
                    info!(core.log.logger(), "store regained"; "for" => "members");
                }
                pause.succeeded();
                after = Some(revision);
                sleep(GATHER).await;
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(failure) => {
                if !pause.is_failing() {
                    warn!(core.log.logger(), "store lost";
                        "for" => "members",
                        "members" => core.fleet.borrow().len(),
                        "cause" => %failure);
                }
                let pause = pause.failed(&mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}

async fn list_members(core: &NodeCore, store: &impl MetaStore) -> Result<Revision, StoreError> {
    core.metrics.store_call("list-members");
    let list = store.list(MEMBER_PREFIX).await?;
    let present: HashSet<SocketAddr> = list
        .items
        .iter()
        .filter_map(|item| hop_of(&item.key))
        .collect();
    for item in &list.items {
        announce(core, item);
    }
    let now = core.clock.now();
    core.fleet
        .borrow_mut()
        .lapse_others(now, list.revision, |hop| present.contains(hop));
    if !present.contains(&core.settings.hop) {
        core.announce.notify_one();
    }
    Ok(list.revision)
}

async fn watch_members(
    core: &NodeCore,
    store: &impl MetaStore,
    after: Revision,
) -> Result<Revision, StoreError> {
    core.metrics.store_call("watch-members");
    let batch = store.watch(MEMBER_PREFIX, after, WATCH_WAIT).await?;
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) => announce(core, item),
            StoreEvent::Deleted { key, revision } => lapse(core, key, *revision),
        }
    }
    Ok(batch.revision.max(after))
}

fn announce(core: &NodeCore, item: &StoreItem) {
    let record: MemberRecord = match serde_json::from_slice(&item.value) {
        Ok(record) => record,
        Err(cause) => {
            error!(core.log.logger(), "announcement unreadable";
                "key" => &*item.key, "cause" => %cause);
            return;
        }
    };
    let now = core.clock.now();
    if record.hop == core.settings.hop {
        core.door.gate().borrow_mut().restore(now, &record);
        core.announce.notify_one();
    }
    let (hop, instance) = (record.hop, record.instance.clone());
    let state: &'static str = record.state.into();
    let service = record.service.clone();
    if core.fleet.borrow_mut().announce(now, record, item.revision) {
        info!(core.log.logger(), "member announced";
            "at" => %hop,
            "instance" => instance,
            "service" => service,
            "state" => state,
            "revision" => item.revision.0);
    }
}

fn lapse(core: &NodeCore, key: &str, revision: Revision) {
    let Some(hop) = hop_of(key) else {
        return;
    };
    core.fleet
        .borrow_mut()
        .lapse(core.clock.now(), hop, revision);
    info!(core.log.logger(), "announcement missing"; "at" => %hop);
    if hop == core.settings.hop {
        core.announce.notify_one();
    }
}

fn hop_of(key: &str) -> Option<SocketAddr> {
    key.strip_prefix(MEMBER_PREFIX)?.parse().ok()
}
