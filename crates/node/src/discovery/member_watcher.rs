//! Watches the announcements, crashes and rollouts in the store.

use std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration};

use crate::crash::CrashRecord;
use slog::error;
use tokio::{
    select,
    time::{sleep, timeout},
};

use super::{
    AnnouncementKey, NODE_PREFIX, StartSchedule,
    apply_updates::{apply_lapse, apply_record},
    member_log::MemberLog,
    own_key,
};
use crate::{
    crash::CRASH_PREFIX,
    member::MemberRecord,
    node_core::NodeCore,
    quota::QUOTA_PREFIX,
    rollout::{ROLLOUT_PREFIX, rollout_key},
    store::{MetaStore, ReadConsistency, Revision, StoreError, StoreEvent, StoreItem, StoreList},
};

/// Longest wait of one watch call; the store allows 30 s. A connection that has gone
/// silent for good is noticed a second after this time at most.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause after a change in which further ones are collected. Each watch costs a call. Until
/// the change arrives here, the inbound proxies refuse requests that come too late.
const GATHER_TIME: Duration = Duration::from_millis(250);
/// Time between listings while a fleet starts for the first time and announces itself.
/// Heartbeats come every second and a half.
const FIRST_START_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Time between checks for a first heartbeat of the backend server.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between checks whether this node has to watch the store.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the announcements and crashes in the store while this node has that duty.
///
/// The node first lists the members of its data centre. Where the whole fleet starts for the first
/// time, [`StartSchedule`] says when.
pub async fn watch_members(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let start_schedule = StartSchedule::new(rand::random());
    loop {
        if !core.knows_local_members() {
            find_local_members(&core, &*store, start_schedule).await;
            continue;
        }
        if !core.watches_store() {
            let _idle = timeout(IDLE_CHECK_INTERVAL, core.watch_duty_changed.notified()).await;
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
                core.record_store_response();
                core.update_arrived.notify_waiters();
                sleep(if settling {
                    FIRST_START_LIST_INTERVAL
                } else {
                    GATHER_TIME
                })
                .await;
            }
            Err(failure) => core.record_store_failure("members", &failure),
        }
    }
}

/// Lists the members of this data centre, once the node's turn has come.
async fn find_local_members(
    core: &NodeCore,
    store: &impl MetaStore,
    start_schedule: StartSchedule,
) {
    if core.settings.first_start {
        wait_for_start(core, start_schedule).await;
        core.until_store_back().await;
        match list_local_members(core, store, ReadConsistency::Serializable).await {
            Ok(0) => {}
            Ok(_) => return core.record_local_members_listed(),
            Err(failure) => return core.record_store_failure("members", &failure),
        }
    }
    core.until_store_back().await;
    match list_local_members(core, store, ReadConsistency::Linearizable).await {
        Ok(_) => core.record_local_members_listed(),
        Err(failure) => core.record_store_failure("members", &failure),
    }
}

/// Waits until a node that starts with the whole fleet looks for others.
async fn wait_for_start(core: &NodeCore, start_schedule: StartSchedule) {
    loop {
        let now = core.clock.now();
        let has_endpoint = core.inbound.tracker().borrow().current().is_some();
        let list_at = start_schedule.list_at(has_endpoint);
        if now >= list_at {
            return;
        }
        // A heartbeat of the backend server may come first.
        sleep(list_at.saturating_sub(now).min(START_CHECK_INTERVAL)).await;
    }
}

/// Reads the announcements of this data centre. One of these nodes becomes the relay, which
/// sends all others. Returns the number of members found.
async fn list_local_members(
    core: &NodeCore,
    store: &impl MetaStore,
    consistency: ReadConsistency,
) -> Result<usize, StoreError> {
    core.metrics.record_store_call("list-home");
    let prefix = AnnouncementKey::prefix(&core.settings.data_centre);
    let list = store.list(&prefix, consistency).await?;
    let present: Vec<SocketAddr> = apply_items(core, &list.items);
    resume_lease(core, &list.items);
    core.record_store_response();
    if !present.contains(&core.settings.peer_addr) {
        core.announcement_changed.notify_one();
    }
    Ok(present.len())
}

/// Notes the lease that an earlier process of this node left.
///
/// If that process was a registrar, its members are still under its lease. Those that call no more
/// count as gone.
fn resume_lease(core: &NodeCore, items: &[StoreItem]) {
    let key = own_key(core);
    let own_item = items.iter().find(|item| item.key == key.as_str());
    let Some(lease) = own_item.and_then(|item| item.lease) else {
        return;
    };
    core.earlier_lease.set(Some(lease));
    let fleet = core.fleet.borrow();
    let own_member = fleet.member_at(core.settings.peer_addr);
    if own_member.is_none_or(|member| member.record.registrar.is_some()) {
        return;
    }
    let members = items
        .iter()
        .filter(|item| item.lease == Some(lease) && item.key != key.as_str());
    for item in members {
        if let Some(peer_addr) = AnnouncementKey::peer_addr_in(&item.key) {
            core.registrar
                .resume_member(core.clock.now(), peer_addr, &item.key, item.revision);
        }
    }
}

async fn list_members(core: &NodeCore, store: &impl MetaStore) -> Result<(), StoreError> {
    core.metrics.record_store_call("list-members");
    let list = store
        .list(NODE_PREFIX, core.first_read_consistency())
        .await?;
    let present: HashSet<SocketAddr> = apply_items(core, &list.items).into_iter().collect();
    mark_missing_rollouts(core, &list);
    core.record_quota_list(&list);
    let now = core.clock.now();
    let mut fleet = core.fleet.borrow_mut();
    fleet.apply_list(now, list.revision, |peer_addr| present.contains(peer_addr));
    drop(fleet);
    if !present.contains(&core.settings.peer_addr) {
        core.announcement_changed.notify_one();
    }
    Ok(())
}

/// Has rollouts written again that the store doesn't hold. It was restored from an older copy.
fn mark_missing_rollouts(core: &NodeCore, list: &StoreList) {
    let mut rollouts = core.rollouts.borrow_mut();
    let is_missing = |service: &str| {
        let key = rollout_key(service);
        rollouts.revision(service) <= list.revision && list.items.iter().all(|item| item.key != key)
    };
    let services = rollouts.records().map(|record| &record.service);
    let missing: Vec<String> = services
        .filter(|service| is_missing(service))
        .cloned()
        .collect();
    for service in &missing {
        rollouts.mark_missing(service);
    }
    if !missing.is_empty() {
        core.rollouts_changed.notify_one();
    }
}

/// Waits for a change, or until this node doesn't have to watch any more. Lists the members
/// when the store no longer has the history after `after`.
async fn watch_step(
    core: &NodeCore,
    store: &impl MetaStore,
    after: Revision,
) -> Result<(), StoreError> {
    core.metrics.record_store_call("watch-members");
    let watched = select! {
        batch = store.watch(NODE_PREFIX, after, WATCH_WAIT) => batch,
        () = core.until_watch_ends(NodeCore::watches_store) => return Ok(()),
    };
    let batch = match watched {
        Err(StoreError::HistoryGone) => return list_members(core, store).await,
        batch => batch?,
    };
    let mut member_log = MemberLog::default();
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) => drop(apply_item(core, item, &mut member_log)),
            StoreEvent::Deleted { key, revision } => {
                core.record_quota_removal(key, *revision);
                apply_removal(core, key, *revision);
            }
        }
    }
    member_log.write(core.log.logger());
    core.fleet.borrow_mut().advance(batch.revision);
    Ok(())
}

/// Applies announcements and crashes from the store, and returns the announced addresses.
fn apply_items(core: &NodeCore, items: &[StoreItem]) -> Vec<SocketAddr> {
    let mut member_log = MemberLog::default();
    let taken = items
        .iter()
        .filter_map(|item| apply_item(core, item, &mut member_log));
    let peer_addrs = taken.collect();
    member_log.write(core.log.logger());
    peer_addrs
}

/// Applies an item, and returns the address in a valid announcement.
///
/// Another program may have written the key: fields are missing or have another type, the
/// value isn't an announcement, or it replaced that of a member. Such an item gives no
/// address. The announcement that it replaced is treated as removed, and its own node
/// writes it again. The other items are still applied.
fn apply_item(core: &NodeCore, item: &StoreItem, member_log: &mut MemberLog) -> Option<SocketAddr> {
    if item.key.starts_with(CRASH_PREFIX) {
        apply_crashes(core, item);
        return None;
    }
    if item.key.starts_with(ROLLOUT_PREFIX) {
        core.record_rollout_item(item);
        return None;
    }
    if item.key.starts_with(QUOTA_PREFIX) {
        core.record_quota_item(item);
        return None;
    }
    let cause = match parse_record(item) {
        Ok(record) if key_of(&record).as_str() == item.key => {
            let peer_addr = record.peer_addr;
            apply_record(core, record, item.revision, member_log);
            return Some(peer_addr);
        }
        Ok(record) => format!("the value announces the node at {}", record.peer_addr),
        Err(cause) => cause.to_string(),
    };
    error!(core.log.logger(), "announcement unreadable";
        "key" => &*item.key, "revision" => item.revision.0, "cause" => cause);
    apply_removal(core, &item.key, item.revision);
    None
}

/// Records that the announcement at a key is missing. A key under which its node wouldn't
/// announce itself has no effect on a member.
fn apply_removal(core: &NodeCore, key: &str, revision: Revision) {
    let Some(peer_addr) = AnnouncementKey::peer_addr_in(key) else {
        return;
    };
    let announced_key = {
        let fleet = core.fleet.borrow();
        fleet
            .member_at(peer_addr)
            .map(|member| key_of(&member.record))
    };
    if announced_key.is_none_or(|announced_key| announced_key.as_str() == key) {
        apply_lapse(core, peer_addr, revision);
    }
}

fn key_of(record: &MemberRecord) -> AnnouncementKey {
    AnnouncementKey::new(&record.data_centre, record.peer_addr)
}

fn parse_record(item: &StoreItem) -> Result<MemberRecord, serde_json::Error> {
    serde_json::from_slice(&item.value)
}

fn apply_crashes(core: &NodeCore, item: &StoreItem) {
    match serde_json::from_slice::<Vec<CrashRecord>>(&item.value) {
        Ok(records) => {
            for record in records {
                core.record_crash(record, item.revision);
            }
        }
        Err(cause) => error!(core.log.logger(), "crash records not decoded";
            "key" => &*item.key, "cause" => %cause),
    }
}
