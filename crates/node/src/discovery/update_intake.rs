//! Taking in what another node told.

use std::{collections::HashSet, net::SocketAddr, rc::Rc};

use slog::{error, info, warn};

use super::member_notes::{MemberNotes, MemberRow};
use crate::{
    config::MeshConfig,
    distribution::{ConfigUpdate, UpdateResponse},
    member::{MemberRecord, MemberUpdate},
    node_core::NodeCore,
    store::Revision,
};

/// Takes in what another node told.
pub(super) fn take_answer(core: &NodeCore, from: SocketAddr, answer: UpdateResponse) {
    if let Some(updates) = answer.config {
        take_config(core, from, updates);
    }
    for (revision, row) in answer.crashes {
        core.record_crash(row, Revision(revision));
    }
    take_members(core, answer.members);
}

fn take_config(core: &NodeCore, from: SocketAddr, updates: ConfigUpdate) {
    let before = core.config.borrow().clone();
    let input = match updates {
        ConfigUpdate::Whole(packed) => match packed.unpack() {
            Ok(input) => Some(Rc::new(input)),
            Err(cause) => {
                error!(core.log.logger(), "configuration unreadable";
                    "from" => %from, "in_force" => core.version().0, "cause" => %cause);
                None
            }
        },
        ConfigUpdate::Delta(delta) => before
            .as_ref()
            .and_then(|before| delta.apply(&before.input))
            .map(Rc::new),
    };
    let Some(input) = input else {
        // Another way has brought a later version meanwhile.
        return;
    };
    match MeshConfig::checked(input, before.as_deref()) {
        Ok(config) => drop(core.adopt_config(config, "node")),
        Err(cause) => warn!(core.log.logger(), "configuration refused";
            "from" => %from, "in_force" => core.version().0, "cause" => %cause),
    }
}

fn take_members(core: &NodeCore, updates: MemberUpdate) {
    let revision = Revision(updates.revision);
    core.eras.observe(revision.era());
    if updates.whole {
        let now = core.clock.now();
        let present: HashSet<SocketAddr> = updates
            .written
            .iter()
            .map(|(record, _)| record.peer_addr)
            .collect();
        let mut fleet = core.fleet.borrow_mut();
        fleet.listed(now, revision, |peer_addr| present.contains(peer_addr));
        if !present.contains(&core.settings.peer_addr) {
            core.announcement_changed.notify_one();
        }
    }
    let mut notes = MemberNotes::default();
    for (record, revision) in updates.written {
        take_record(core, record, Revision(revision), &mut notes);
    }
    notes.write(core.log.logger());
    for (peer_addr, revision) in updates.lapsed {
        take_lapse(core, peer_addr, Revision(revision));
    }
    core.fleet.borrow_mut().advance(revision);
    core.updates.notify_waiters();
}

/// Takes in an announcement, and notes it if it changes anything.
pub(super) fn take_record(
    core: &NodeCore,
    record: MemberRecord,
    revision: Revision,
    notes: &mut MemberNotes,
) {
    let now = core.clock.now();
    if record.peer_addr == core.settings.peer_addr {
        core.inbound.tracker().borrow_mut().restore(now, &record);
        if core.inbound.tracker().borrow().current().is_none() {
            *core.own_record.borrow_mut() = Some(record.clone());
            core.own_record_received.notify_one();
        }
        core.announcement_changed.notify_one();
    }
    let row = MemberRow::new(&record, revision);
    if core.fleet.borrow_mut().announce(now, record, revision) {
        notes.push(row);
    }
}

/// Takes in that an announcement is missing.
pub(super) fn take_lapse(core: &NodeCore, peer_addr: SocketAddr, revision: Revision) {
    let known = core
        .fleet
        .borrow_mut()
        .lapse(core.clock.now(), peer_addr, revision);
    if known {
        info!(core.log.logger(), "announcement missing";
            "at" => %peer_addr, "revision" => revision.0);
    }
    if peer_addr == core.settings.peer_addr {
        core.announcement_changed.notify_one();
    }
}
