//! Watches the announcements in the store.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use crate::crash::CrashRow;
use slog::error;
use tokio::{
    select,
    time::{sleep, timeout},
};

use super::{
    MEMBER_PREFIX, NODE_PREFIX,
    member_notes::MemberNotes,
    news_intake::{take_crash, take_lapse, take_record},
};
use crate::{
    crash::CRASH_PREFIX,
    member::MemberRecord,
    node_core::NodeCore,
    store::{MetaStore, Revision, StoreError, StoreEvent, StoreItem},
};

/// Longest wait of a watch; the store allows 30 s. A connection gone silent
/// for good is noticed after this and a second at most.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause after a change, in which further ones gather: each watch costs a
/// call, and until the news is here the doors refuse what comes too late.
const GATHER: Duration = Duration::from_millis(250);
/// Time between lists while a new fleet announces itself: heartbeats come each
/// second and a half.
const SETTLE_LOOK: Duration = Duration::from_millis(500);
/// Time between looks at whether this node has to watch.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Watches the announcements in the store while this node has to.
pub async fn watch_members(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        if !core.watches_store() {
            let _idle = timeout(IDLE_LOOK, core.duty_changed.notified()).await;
            continue;
        }
        core.until_store_back().await;
        let after = core.fleet.borrow().revision();
        let settling = core.is_settling();
        let step = if settling || after == Revision(0) {
            list_members(&core, &*store).await
        } else {
            watch_step(&core, &*store, after).await
        };
        match step {
            Ok(()) => {
                core.store_answered();
                core.news.notify_waiters();
                sleep(if settling { SETTLE_LOOK } else { GATHER }).await;
            }
            Err(failure) => core.store_failed("members", &failure),
        }
    }
}

async fn list_members(core: &NodeCore, store: &impl MetaStore) -> Result<(), StoreError> {
    core.metrics.store_call("list-members");
    let list = store.list(NODE_PREFIX, core.first_read_age()).await?;
    let mut notes = MemberNotes::default();
    let items = list.items.iter();
    let taken = items.filter_map(|item| take_item(core, item, &mut notes));
    let present: HashSet<SocketAddr> = taken.collect();
    notes.write(core.log.logger());
    let now = core.clock.now();
    let mut fleet = core.fleet.borrow_mut();
    fleet.listed(now, list.revision, |hop| present.contains(hop));
    drop(fleet);
    if !present.contains(&core.settings.hop) {
        core.announce.notify_one();
    }
    Ok(())
}

/// Waits for a change, or until this node needn't watch any more. A history
/// that is gone is made up for by a list.
async fn watch_step(
    core: &NodeCore,
    store: &impl MetaStore,
    after: Revision,
) -> Result<(), StoreError> {
    core.metrics.store_call("watch-members");
    let watched = select! {
        batch = store.watch(NODE_PREFIX, after, WATCH_WAIT) => batch,
        () = core.until_relieved() => return Ok(()),
    };
    let batch = match watched {
        Err(StoreError::HistoryGone) => return list_members(core, store).await,
        batch => batch?,
    };
    let mut notes = MemberNotes::default();
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) => drop(take_item(core, item, &mut notes)),
            StoreEvent::Deleted { key, revision } => {
                if let Some(hop) = hop_of(key) {
                    take_lapse(core, hop, *revision);
                }
            }
        }
    }
    notes.write(core.log.logger());
    core.fleet.borrow_mut().advance(batch.revision);
    Ok(())
}

/// Takes in an item, and returns whose announcement it is.
///
/// **Failure.** Something else writes to the store: fields are missing or of
/// another type, or it is no announcement at all, and it may stand where a
/// member's was. **Guard.** It names nobody; a member whose place it took has
/// no announcement any more, as if that had been removed, and its own node
/// writes it again. What else was listed or heard is taken in all the same.
fn take_item(core: &NodeCore, item: &StoreItem, notes: &mut MemberNotes) -> Option<SocketAddr> {
    if item.key.starts_with(CRASH_PREFIX) {
        take_crashes(core, item);
        return None;
    }
    let hop = hop_of(&item.key);
    let cause = match parse_record(item) {
        Ok(record) if Some(record.hop) == hop => {
            take_record(core, record, item.revision, notes);
            return hop;
        }
        Ok(record) => format!("it is of {}", record.hop),
        Err(cause) => cause.to_string(),
    };
    error!(core.log.logger(), "announcement unreadable";
        "key" => &*item.key, "revision" => item.revision.0, "cause" => cause);
    if let Some(hop) = hop {
        take_lapse(core, hop, item.revision);
    }
    None
}

fn parse_record(item: &StoreItem) -> Result<MemberRecord, serde_json::Error> {
    serde_json::from_slice(&item.value)
}

fn take_crashes(core: &NodeCore, item: &StoreItem) {
    match serde_json::from_slice::<Vec<CrashRow>>(&item.value) {
        Ok(rows) => {
            for row in rows {
                take_crash(core, row, item.revision);
            }
        }
        Err(cause) => error!(core.log.logger(), "crash unreadable";
            "key" => &*item.key, "cause" => %cause),
    }
}

fn hop_of(key: &str) -> Option<SocketAddr> {
    key.strip_prefix(MEMBER_PREFIX)?.parse().ok()
}
