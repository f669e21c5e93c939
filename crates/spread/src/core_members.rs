//! Rows: taking them in, refuting, correcting.

use std::time::Duration;

use geranium_model::{Incarnation, InstanceName, MemberRow, MemberState};

use crate::{ControlMessage, FleetAction, FleetCore, peer_state::spaced};

/// Incarnations above this are refused: raising one's own over them would
/// overflow. As milliseconds it is some millions of years.
const INCARNATION_MAX: Incarnation = Incarnation::new(1 << 62);
/// Gap between corrections sent to one peer.
const CORRECT_GAP: Duration = Duration::from_secs(1);

impl FleetCore {
    pub(crate) fn on_rows(
        &mut self,
        from: &InstanceName,
        rows: &[MemberRow],
        out: &mut Vec<FleetAction>,
    ) {
        for row in rows {
            self.take_row(Some(from), row, out);
        }
    }

    /// Takes in a row and passes it on if it is news.
    pub(crate) fn take_row(
        &mut self,
        from: Option<&InstanceName>,
        row: &MemberRow,
        out: &mut Vec<FleetAction>,
    ) {
        if row.incarnation > INCARNATION_MAX {
            return;
        }
        if row.instance == self.own.instance {
            self.refute(row, out);
            return;
        }
        let former = self.table.get(&row.instance);
        let was_member = former.is_some_and(|former| former.state != MemberState::Gone);
        if !self.table.merge(self.now, row) {
            self.answer_old_row(from, row);
            return;
        }
        self.note_row(row);
        if row.state != MemberState::Gone {
            out.push(FleetAction::MemberChanged(row.clone()));
        } else if was_member {
            out.push(FleetAction::MemberGone(row.instance.clone()));
        }
        self.push_row(&row.instance, from);
    }

    /// The sender holds this row: it needn't get it back, but a newer one.
    fn answer_old_row(&mut self, from: Option<&InstanceName>, row: &MemberRow) {
        let Some(peer) = from.and_then(|from| self.peers.get_mut(from)) else {
            return;
        };
        let newer_here = self
            .table
            .get(&row.instance)
            .is_some_and(|held| held.supersedes(row));
        if newer_here {
            peer.outbox.insert(row.instance.clone());
            self.outboxes.extend(from.cloned());
        } else {
            peer.outbox.remove(&row.instance);
        }
    }

    fn note_row(&mut self, row: &MemberRow) {
        self.links_stale = true;
        self.beats.expect(self.now, &row.data_centre);
        match row.state {
            MemberState::Suspect => {
                self.suspects.insert(row.instance.clone(), self.now);
            }
            MemberState::Gone => {
                self.suspects.remove(&row.instance);
                self.detector.forget(&row.instance);
            }
            _ => {
                self.suspects.remove(&row.instance);
            }
        }
    }

    /// Answers a row of this node that isn't its own.
    ///
    /// It speaks of a former process of the same name, or of a false suspicion:
    /// either is overruled by a higher incarnation. `started` stays, for the
    /// process is the same.
    fn refute(&mut self, row: &MemberRow, out: &mut Vec<FleetAction>) {
        let left = self.own.state == MemberState::Gone && row.state == MemberState::Gone;
        let same_rank = row.incarnation == self.own.incarnation && row.state == self.own.state;
        let contradicts = row.supersedes(&self.own) || (same_rank && *row != self.own);
        if contradicts && !left {
            self.counters.refuted += 1;
            self.raise_incarnation(row.incarnation, out);
        }
    }

    /// Raises the own incarnation above `heard` and tells the fleet.
    pub(crate) fn raise_incarnation(&mut self, heard: Incarnation, out: &mut Vec<FleetAction>) {
        self.own.incarnation = heard.max(self.own.incarnation).next();
        self.table.merge(self.now, &self.own);
        self.links_stale = true;
        out.push(FleetAction::MemberChanged(self.own.clone()));
        let name = self.own.instance.clone();
        self.push_row(&name, None);
    }

    /// Tells a peer what the fleet holds of it, so that it can refute.
    ///
    /// Failure guarded against: a frozen instance that was declared gone and
    /// goes on as if nothing had happened, unknown to all. It shows as a live
    /// backend server that gets no work.
    pub(crate) fn correct(&mut self, from: &InstanceName, out: &mut Vec<FleetAction>) {
        let row = self.table.get(from);
        let wrong =
            row.filter(|row| row.state == MemberState::Suspect || row.state == MemberState::Gone);
        let message = match (row, wrong) {
            (_, Some(row)) => ControlMessage::Rows(vec![row.clone()]),
            (None, None) => ControlMessage::RowsWanted(vec![crate::name_key(from.as_str())]),
            _ => return,
        };
        let now = self.now;
        let peer = self.peers.get_mut(from);
        if peer.is_some_and(|peer| spaced(&mut peer.corrected_at, now, CORRECT_GAP)) {
            self.send(from, message, out);
        }
    }
}
