//! Writes the announcements of other nodes in batches.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::{select, time::sleep};

use super::{RegistrationReply, registrar_state::WaitingEntry};
use crate::{
    node_core::NodeCore,
    store::{KeyConflict, LeaseId, MetaStore, Revision, StoreError, StoreWrite},
};

/// Time between checks for members that count as gone.
const ROSTER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of transactions for one batch. Each one after the first leaves out the changes
/// that conflicted with the store.
const TRANSACTIONS_MAX: usize = 3;
/// Maximum age of the store's last response that counts as recent. A failure then doesn't mean
/// that this node has lost the store.
const RECENT_RESPONSE_AGE_MAX: Duration = Duration::from_millis(500);
/// Time between renewals of the lease of another registrar whose members move here.
const FORMER_RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Leases of other registrars, and when this node renewed them last.
type FormerLeases = HashMap<LeaseId, Duration>;

/// Writes the changes of this node's members to the store, until the node ends.
pub async fn run_registrar(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    let mut former_leases = FormerLeases::new();
    loop {
        select! {
            () = core.registrar.until_batch_due() => {}
            () = sleep(ROSTER_CHECK_INTERVAL), if core.registrar.member_count() > 0 => {}
        }
        let gone = queue_removals(&core);
        if gone > 0 {
            info!(core.log.logger(), "members silent to the registrar"; "count" => gone);
        }
        loop {
            let batch = core.registrar.take_batch();
            if batch.is_empty() {
                break;
            }
            commit_batch(&core, &*store, &mut former_leases, batch).await;
        }
    }
}

/// Queues removals of the announcements of silent members, and returns their number.
///
/// A member with a later revision has moved to another registrar, as far as this node knows.
fn queue_removals(core: &NodeCore) -> usize {
    let fleet = core.fleet.borrow();
    let has_moved = |peer_addr: SocketAddr, revision: Revision| {
        let member = fleet.member_at(peer_addr);
        member.is_some_and(|member| member.revision() > revision)
    };
    core.registrar.queue_removals(core.clock.now(), has_moved)
}

async fn commit_batch(
    core: &NodeCore,
    store: &impl MetaStore,
    former_leases: &mut FormerLeases,
    mut batch: Vec<WaitingEntry>,
) {
    if !core.store_access.borrow().allows_calls() {
        return reply_all(batch, RegistrationReply::Failed);
    }
    let lease = core.registrar.wait_for_lease(|| core.clock.now());
    let Some(lease) = lease.await else {
        return reply_all(batch, RegistrationReply::Failed);
    };
    renew_former_leases(core, store, former_leases, &batch, lease).await;
    for _transaction in 0..TRANSACTIONS_MAX {
        let writes = batch
            .iter()
            .filter_map(|waiting| waiting.entry.write(lease));
        let writes: Vec<StoreWrite<'_>> = writes.collect();
        core.metrics.record_store_call("register");
        match store.commit(&writes).await {
            Ok(revision) => {
                core.record_store_response();
                return complete(core, batch, lease, revision);
            }
            Err(StoreError::Conflict { conflicts, .. }) => {
                core.record_store_response();
                batch = resolve_conflicts(batch, &conflicts, lease);
                if batch.is_empty() {
                    return;
                }
            }
            Err(StoreError::NoLease) => {
                core.record_store_response();
                core.registrar.record_lease_end();
                core.announcement_changed.notify_one();
                return reply_all(batch, RegistrationReply::Unleased);
            }
            Err(failure) => {
                record_failure(core, &failure);
                return reply_all(batch, RegistrationReply::Failed);
            }
        }
    }
    reply_all(batch, RegistrationReply::Failed);
}

/// Renews the leases under which the announcements of moving members are now, so that none lapses
/// before all members of a failed registrar have moved.
async fn renew_former_leases(
    core: &NodeCore,
    store: &impl MetaStore,
    former_leases: &mut FormerLeases,
    batch: &[WaitingEntry],
    own_lease: LeaseId,
) {
    let now = core.clock.now();
    former_leases.retain(|_, renewed_at| now < *renewed_at + FORMER_RENEW_INTERVAL);
    for lease in batch.iter().filter_map(|waiting| waiting.entry.lease()) {
        if lease == own_lease || former_leases.contains_key(&lease) {
            continue;
        }
        former_leases.insert(lease, now);
        core.metrics.record_store_call("renew-former");
        match store.renew_lease(lease).await {
            Ok(()) | Err(StoreError::NoLease) => {}
            Err(cause) => {
                info!(core.log.logger(), "former lease not renewed"; "cause" => %cause);
            }
        }
    }
}

/// Replies to the members of a batch that was written.
fn complete(core: &NodeCore, batch: Vec<WaitingEntry>, lease: LeaseId, revision: Revision) {
    info!(core.log.logger(), "announcements written";
        "count" => batch.len(), "revision" => revision.0);
    let now = core.clock.now();
    let mut roster = core.registrar.roster.borrow_mut();
    for WaitingEntry {
        entry,
        reply_sender,
    } in batch
    {
        let reply = if entry.is_removed() {
            roster.remove(entry.peer_addr());
            RegistrationReply::Removed {
                revision: revision.0,
            }
        } else {
            roster.record_call(now, entry.peer_addr(), entry.key(), revision);
            RegistrationReply::Written {
                revision: revision.0,
                lease,
            }
        };
        // The member may have given up meanwhile.
        let _delivered = reply_sender.map(|sender| sender.send(reply));
    }
}

/// Replies to the members whose announcements have other revisions than expected, and returns the
/// changes to try again.
///
/// An announcement of a silent member that is still under this registrar's lease is removed at its
/// present revision: the response to its last write was lost. Under another lease it belongs to
/// another registrar now.
fn resolve_conflicts(
    batch: Vec<WaitingEntry>,
    conflicts: &[KeyConflict],
    own_lease: LeaseId,
) -> Vec<WaitingEntry> {
    let mut rest = Vec::with_capacity(batch.len());
    for mut waiting in batch {
        let key = waiting.entry.key();
        let Some(conflict) = conflicts.iter().find(|conflict| conflict.key == key) else {
            rest.push(waiting);
            continue;
        };
        let Some(reply_sender) = waiting.reply_sender else {
            if conflict.lease == Some(own_lease) {
                waiting.entry = waiting.entry.at_revision(conflict.current);
                rest.push(waiting);
            }
            continue;
        };
        // The member may have given up meanwhile.
        let _delivered = reply_sender.send(RegistrationReply::Conflict {
            current: conflict.current.0,
        });
    }
    rest
}

fn reply_all(batch: Vec<WaitingEntry>, reply: RegistrationReply) {
    for waiting in batch {
        let _delivered = waiting.reply_sender.map(|sender| sender.send(reply));
    }
}

fn record_failure(core: &NodeCore, failure: &StoreError) {
    let age = core.relay_selector.borrow().store_age(core.clock.now());
    if age > RECENT_RESPONSE_AGE_MAX {
        core.record_store_failure("register", failure);
    } else {
        warn!(core.log.logger(), "announcements not written"; "cause" => %failure);
    }
}
