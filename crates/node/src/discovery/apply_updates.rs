//! Applies updates that another node sent.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use slog::{error, info, warn};

use super::member_log::{MemberLog, MemberLogEntry};
use crate::{
    config::MeshConfig,
    distribution::{ConfigUpdate, UpdateResponse},
    member::{MemberRecord, MemberUpdate},
    node_core::NodeCore,
    store::Revision,
};

/// Applies the configuration, crashes, rollouts and members of a response to a request for updates.
pub(super) fn apply_updates(core: &NodeCore, from: SocketAddr, response: UpdateResponse) {
    if let Some(update) = response.config {
        apply_config(core, from, update);
    }
    for (revision, record) in response.crashes {
        core.record_crash(record, Revision(revision));
    }
    for (revision, record) in response.rollouts {
        core.record_rollout(record, Revision(revision));
    }
    core.record_quota_entries(&response.quota_owners);
    match response.packed_members.map(|packed| packed.unpack()) {
        None => apply_members(core, response.members),
        Some(Ok(members)) => apply_members(core, members),
        Some(Err(cause)) => error!(core.log.logger(), "members not decoded";
            "from" => %from, "cause" => %cause),
    }
}

fn apply_config(core: &NodeCore, from: SocketAddr, update: ConfigUpdate) {
    let current = core.config.borrow().clone();
    let input = match update {
        ConfigUpdate::Whole(packed) => match packed.unpack() {
            Ok(input) => Some(Rc::new(input)),
            Err(cause) => {
                error!(core.log.logger(), "configuration not decoded";
                    "from" => %from, "in_force" => core.version().0, "cause" => %cause);
                None
            }
        },
        ConfigUpdate::Delta(delta) => current
            .as_ref()
            .and_then(|current| delta.apply(&current.input))
            .map(Rc::new),
    };
    let Some(input) = input else {
        // The document couldn't be decoded, or a newer version came from another source
        // meanwhile, so that the delta doesn't apply.
        return;
    };
    match MeshConfig::checked(input, current.as_deref()) {
        Ok(config) => drop(core.adopt_config(config, "node")),
        Err(cause) => warn!(core.log.logger(), "configuration refused";
            "from" => %from, "in_force" => core.version().0, "cause" => %cause),
    }
}

fn apply_members(core: &NodeCore, update: MemberUpdate) {
    let revision = Revision(update.revision);
    core.eras.observe(revision.era());
    if update.whole {
        let now = core.clock.now();
        let present: HashSet<SocketAddr> = update
            .written
            .iter()
            .map(|(record, _)| record.peer_addr)
            .collect();
        let mut fleet = core.fleet.borrow_mut();
        fleet.apply_list(now, revision, |peer_addr| present.contains(peer_addr));
        if !present.contains(&core.settings.peer_addr) {
            core.announcement_changed.notify_one();
        }
    }
    let mut member_log = MemberLog::default();
    for (record, revision) in update.written {
        apply_record(core, record, Revision(revision), &mut member_log);
    }
    member_log.write(core.log.logger());
    for (peer_addr, revision) in update.lapsed {
        apply_lapse(core, peer_addr, Revision(revision));
    }
    core.fleet.borrow_mut().advance(revision);
    core.update_arrived.notify_waiters();
}

/// Applies an announcement, and adds it to `member_log` if it changes anything.
pub(super) fn apply_record(
    core: &NodeCore,
    record: MemberRecord,
    revision: Revision,
    member_log: &mut MemberLog,
) {
    let now = core.clock.now();
    if record.peer_addr == core.settings.peer_addr {
        let mut tracker = core.inbound.tracker().borrow_mut();
        let is_restored = tracker.restore(now, &record);
        if !core.knows_local_members() {
            tracker.end_grace_time();
        }
        drop(tracker);
        if is_restored {
            info!(core.log.logger(), "leaving restored";
                "instance" => %record.start, "final" => record.is_final,
                "revision" => revision.0);
        }
        if core.inbound.tracker().borrow().current().is_none() {
            *core.earlier_record.borrow_mut() = Some(record.clone());
            core.earlier_record_received.notify_one();
        }
        core.announcement_changed.notify_one();
    }
    let entry = MemberLogEntry::new(&record, revision);
    if core.fleet.borrow_mut().announce(now, record, revision) {
        member_log.push(entry);
    }
}

/// Records that the announcement of the node at `peer_addr` is missing.
pub(super) fn apply_lapse(core: &NodeCore, peer_addr: SocketAddr, revision: Revision) {
    let newly_lapsed = core
        .fleet
        .borrow_mut()
        .lapse(core.clock.now(), peer_addr, revision);
    if newly_lapsed {
        info!(core.log.logger(), "announcement missing";
            "at" => %peer_addr, "revision" => revision.0);
    }
    if peer_addr == core.settings.peer_addr {
        core.announcement_changed.notify_one();
    }
}
