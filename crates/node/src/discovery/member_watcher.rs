//! Watches the announcements in the store.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use crate::crash::CrashRecord;
use slog::error;
use tokio::{
    select,
    time::{sleep, timeout},
};

use super::{
    AnnouncementKey, NODE_PREFIX,
    member_notes::MemberNotes,
    own_key,
    update_intake::{take_lapse, take_record},
};
use crate::{
    crash::CRASH_PREFIX,
    member::MemberRecord,
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency, Revision, StoreError, StoreEvent, StoreItem},
};

/// Longest wait of a watch; the store allows 30 s. A connection gone silent
/// for good is noticed after this and a second at most.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause after a change, in which further ones gather: each watch costs a
/// call, and until the news is here the inbound proxies refuse what comes too late.
const GATHER: Duration = Duration::from_millis(250);
/// Time between lists while a new fleet announces itself: heartbeats come each
/// second and a half.
const SETTLE_LOOK: Duration = Duration::from_millis(500);
/// Time between looks at whether this node has to watch.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Watches the announcements in the store while this node has to.
pub async fn watch_members(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        if !core.knows_local_members() {
            core.until_store_back().await;
            match list_home(&core, &*store).await {
                Ok(()) => core.local_members_listed(),
                Err(failure) => core.store_failed("members", &failure),
            }
            continue;
        }
        if !core.watches_store() {
            let _idle = timeout(IDLE_LOOK, core.watch_duty_changed.notified()).await;
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
                core.updates.notify_waiters();
                sleep(if settling { SETTLE_LOOK } else { GATHER }).await;
            }
            Err(failure) => core.store_failed("members", &failure),
        }
    }
}

/// Reads the announcements of this data centre, among which is the node that is to be
/// asked for all else.
async fn list_home(core: &NodeCore, store: &impl MetaStore) -> Result<(), StoreError> {
    core.metrics.record_store_call("list-home");
    let prefix = AnnouncementKey::prefix(&core.settings.data_centre);
    let list = store.list(&prefix, ReadConsistency::Linearizable).await?;
    let present: Vec<SocketAddr> = take_items(core, &list.items);
    let key = own_key(core);
    let own = list.items.iter().find(|item| item.key == key.as_str());
    core.own_lease.set(own.and_then(|item| item.lease));
    core.store_answered();
    if !present.contains(&core.settings.peer_addr) {
        core.announcement_changed.notify_one();
    }
    Ok(())
}

async fn list_members(core: &NodeCore, store: &impl MetaStore) -> Result<(), StoreError> {
    core.metrics.record_store_call("list-members");
    let list = store
        .list(NODE_PREFIX, core.first_read_consistency())
        .await?;
    let present: HashSet<SocketAddr> = take_items(core, &list.items).into_iter().collect();
    let now = core.clock.now();
    let mut fleet = core.fleet.borrow_mut();
    fleet.listed(now, list.revision, |peer_addr| present.contains(peer_addr));
    drop(fleet);
    if !present.contains(&core.settings.peer_addr) {
        core.announcement_changed.notify_one();
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
    core.metrics.record_store_call("watch-members");
    let watched = select! {
        batch = store.watch(NODE_PREFIX, after, WATCH_WAIT) => batch,
        () = core.until_watch_ends() => return Ok(()),
    };
    let batch = match watched {
        Err(StoreError::HistoryGone) => return list_members(core, store).await,
        batch => batch?,
    };
    let mut notes = MemberNotes::default();
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) => drop(take_item(core, item, &mut notes)),
            StoreEvent::Deleted { key, revision } => take_removal(core, key, *revision),
        }
    }
    notes.write(core.log.logger());
    core.fleet.borrow_mut().advance(batch.revision);
    Ok(())
}

/// Takes in items, and returns whose announcements are among them.
fn take_items(core: &NodeCore, items: &[StoreItem]) -> Vec<SocketAddr> {
    let mut notes = MemberNotes::default();
    let taken = items
        .iter()
        .filter_map(|item| take_item(core, item, &mut notes));
    let peer_addrs = taken.collect();
    notes.write(core.log.logger());
    peer_addrs
}

/// Takes in an item, and returns whose announcement it is.
///
/// Another writer may have put something else there: fields are missing or of another
/// type, it is no announcement at all, or it stands where a member's was. It names
/// nobody. A member whose place it took has no announcement any more, as if that had been
/// removed, and its own node writes it again. The other items are taken in all the same.
fn take_item(core: &NodeCore, item: &StoreItem, notes: &mut MemberNotes) -> Option<SocketAddr> {
    if item.key.starts_with(CRASH_PREFIX) {
        take_crashes(core, item);
        return None;
    }
    let cause = match parse_record(item) {
        Ok(record) if key_of(&record).as_str() == item.key => {
            let peer_addr = record.peer_addr;
            take_record(core, record, item.revision, notes);
            return Some(peer_addr);
        }
        Ok(record) => format!("it is of {}", record.peer_addr),
        Err(cause) => cause.to_string(),
    };
    error!(core.log.logger(), "announcement unreadable";
        "key" => &*item.key, "revision" => item.revision.0, "cause" => cause);
    take_removal(core, &item.key, item.revision);
    None
}

/// Takes in that there is no announcement at a key. A key at which its node wouldn't
/// announce itself says nothing of a member.
fn take_removal(core: &NodeCore, key: &str, revision: Revision) {
    let Some(peer_addr) = AnnouncementKey::peer_addr_in(key) else {
        return;
    };
    let known = {
        let fleet = core.fleet.borrow();
        fleet.at(peer_addr).map(|member| key_of(&member.record))
    };
    if known.is_none_or(|known| known.as_str() == key) {
        take_lapse(core, peer_addr, revision);
    }
}

fn key_of(record: &MemberRecord) -> AnnouncementKey {
    AnnouncementKey::new(&record.data_centre, record.peer_addr)
}

fn parse_record(item: &StoreItem) -> Result<MemberRecord, serde_json::Error> {
    serde_json::from_slice(&item.value)
}

fn take_crashes(core: &NodeCore, item: &StoreItem) {
    match serde_json::from_slice::<Vec<CrashRecord>>(&item.value) {
        Ok(rows) => {
            for row in rows {
                core.record_crash(row, item.revision);
            }
        }
        Err(cause) => error!(core.log.logger(), "crash unreadable";
            "key" => &*item.key, "cause" => %cause),
    }
}
