//! Digests: heartbeats that also find what was lost.

use std::time::Duration;

use geranium_model::{InstanceName, MemberRow};

use crate::{
    ControlMessage, DigestKind, FleetAction, FleetCore, StateDigest,
    peer_state::{PeerState, spaced},
};

/// Gap between repairs begun with one peer: an exchange is over by then.
const REPAIR_GAP: Duration = Duration::from_millis(400);

impl FleetCore {
    fn digest(&self, kind: DigestKind) -> ControlMessage {
        ControlMessage::Digest(StateDigest {
            kind,
            config: self.config.mark(),
            members: self.table.root(),
            crashes: self.crashes.root(),
            beats: self.beats.heard(),
        })
    }

    /// Sends a digest that asks for an answer, and waits for a sign of life.
    pub(crate) fn ask(&mut self, to: &InstanceName, out: &mut Vec<FleetAction>) {
        let kind = if self.chosen.contains(to) {
            DigestKind::Link
        } else {
            DigestKind::Probe
        };
        let message = self.digest(kind);
        self.send(to, message, out);
    }

    /// Sends a digest that asks for nothing.
    pub(crate) fn reply(&mut self, to: &InstanceName, out: &mut Vec<FleetAction>) {
        let message = self.digest(DigestKind::Reply);
        self.send(to, message, out);
    }

    /// Tells a newly chosen link that it was chosen.
    pub(crate) fn greet(&mut self, to: &InstanceName, out: &mut Vec<FleetAction>) {
        if let Some(row) = self.table.get(to) {
            let state = PeerState::new(row.control_addr, self.now);
            self.peers.entry(to.clone()).or_insert(state);
        }
        self.detector.asked(self.now, to);
        self.ask(to, out);
    }

    /// Exchanges digests with the next link.
    pub(crate) fn exchange(&mut self, out: &mut Vec<FleetAction>) {
        if self.is_watcher() {
            let data_centre = self.own.data_centre.clone();
            self.beats.raise(self.now, &data_centre);
        }
        if self.links.is_empty() {
            return;
        }
        self.next_link = (self.next_link + 1) % self.links.len();
        let link = self.links[self.next_link].clone();
        self.detector.asked(self.now, &link);
        self.ask(&link, out);
    }

    pub(crate) fn on_digest(
        &mut self,
        from: &InstanceName,
        digest: &StateDigest,
        out: &mut Vec<FleetAction>,
    ) {
        let now = self.now;
        self.beats.hear(now, &digest.beats);
        self.note_peer(from, digest);
        let asked = digest.kind == DigestKind::Reply;
        if !asked {
            self.reply(from, out);
        }
        self.compare_config(from, digest.config, out);
        // Only who asked begins a repair, or both would at once.
        if !asked {
            return;
        }
        let members_differ = digest.members != self.table.root();
        let crashes_differ = digest.crashes != self.crashes.root();
        let peer = self.peers.get_mut(from);
        let due = (members_differ || crashes_differ)
            && peer.is_some_and(|peer| spaced(&mut peer.repaired_at, now, REPAIR_GAP));
        if due && members_differ {
            let hashes = self.table.bucket_hashes();
            self.send_repair(from, ControlMessage::Buckets(hashes), out);
        }
        if due && crashes_differ {
            let notes = self.crashes.notes(now).collect();
            self.send_crashes(from, notes, true, out);
        }
    }

    fn note_peer(&mut self, from: &InstanceName, digest: &StateDigest) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        peer.mark = digest.config;
        if digest.kind == DigestKind::Link {
            let known = peer.chose_us_at.replace(self.now).is_some();
            self.links_stale |= !known && !self.chosen.contains(from);
        }
        if self.config.current.is_none() {
            let version = digest.config.map(|mark| mark.version);
            self.config.gate.peer_vote(self.now, from, version);
        }
    }

    pub(crate) fn on_join(
        &mut self,
        from: &InstanceName,
        row: &MemberRow,
        out: &mut Vec<FleetAction>,
    ) {
        if row.instance != *from {
            return;
        }
        self.take_row(None, row, out);
        let digest = self.digest(DigestKind::Probe);
        self.send(from, digest, out);
        let row = ControlMessage::Rows(vec![self.own.clone()]);
        self.send(from, row, out);
    }
}
