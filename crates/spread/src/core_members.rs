//! Rows: taking them in, refuting, pushing and repairing them.

use std::time::Duration;

use geranium_model::{CrashRow, Incarnation, InstanceName, MemberRow, MemberState};

use crate::{
    ControlMessage, CrashNote, FleetAction, FleetCore, RowMark,
    fleet_core::encoded_bytes,
    hash::mix,
    link_choice::{LinkCandidate, LinkClass, choose_links},
    peer_state::spaced,
};

/// Rows in a message: with the longest names they stay below its limit.
const ROWS_AT_ONCE: usize = 150;
/// Marks in a message.
const MARKS_AT_ONCE: usize = 2_500;
/// Crash rows in a message.
const CRASHES_AT_ONCE: usize = 500;
/// Crash rows that expire sooner aren't passed on: nodes drop them at slightly
/// different moments, and would hand them to each other for ever.
const CRASH_LEFT_MIN: Duration = Duration::from_secs(5);
/// Watchers in a data centre: the second covers the first's loss.
const WATCHERS: usize = 2;
/// Salt of the watchers' ranking.
const WATCH_SALT: u64 = 0x7761_7463_6865_7273;
/// Time for which a link that another node chose is used without a digest
/// along it: two of its rounds over all its links.
const INBOUND_KEPT: Duration = Duration::from_secs(25);
/// Links of others' choice that are used at most.
const INBOUND_MAX: usize = 12;
/// Incarnations above this are refused: raising one's own over them would
/// overflow. As milliseconds it is some millions of years.
const INCARNATION_MAX: Incarnation = Incarnation::new(1 << 62);
/// Gap between corrections sent to one peer.
const CORRECT_GAP: Duration = Duration::from_secs(1);
/// Time without members known before a node that found none counts as alone.
const ALONE_AFTER: Duration = Duration::from_secs(5);

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

    /// Lines a row up for every link but the one it came from.
    pub(crate) fn push_row(&mut self, instance: &InstanceName, except: Option<&InstanceName>) {
        for link in &self.links {
            if Some(link) == except || link == instance {
                continue;
            }
            if let Some(peer) = self.peers.get_mut(link) {
                peer.outbox.insert(instance.clone());
                self.outboxes.insert(link.clone());
            }
        }
        if let Some(peer) = except.and_then(|except| self.peers.get_mut(except)) {
            peer.outbox.remove(instance);
        }
    }

    /// Sends the rows lined up, as far as the budget goes.
    pub(crate) fn flush(&mut self, out: &mut Vec<FleetAction>) {
        let waiting: Vec<_> = self.outboxes.iter().cloned().collect();
        for name in waiting {
            while let Some(rows) = self.next_rows(&name) {
                let message = ControlMessage::Rows(rows);
                let bytes = encoded_bytes(&message) as f64;
                if !self.push_bucket.take(self.now, bytes) {
                    return;
                }
                if let (Some(peer), ControlMessage::Rows(rows)) =
                    (self.peers.get_mut(&name), &message)
                {
                    for row in rows {
                        peer.outbox.remove(&row.instance);
                    }
                }
                self.send(&name, message, out);
            }
            self.outboxes.remove(&name);
        }
    }

    /// Returns the rows to send to a peer next: those that end work first.
    fn next_rows(&mut self, name: &InstanceName) -> Option<Vec<MemberRow>> {
        if self.detector.is_silent(name) {
            self.peers.get_mut(name)?.outbox.clear();
        }
        let peer = self.peers.get_mut(name)?;
        let table = &self.table;
        peer.outbox.retain(|instance| table.get(instance).is_some());
        let rows = peer
            .outbox
            .iter()
            .filter_map(|instance| table.get(instance));
        let (mut first, rest): (Vec<_>, Vec<_>) =
            rows.cloned().partition(|row| !row.state.takes_work());
        first.extend(rest);
        first.truncate(ROWS_AT_ONCE);
        (!first.is_empty()).then_some(first)
    }

    pub(crate) fn on_buckets(
        &mut self,
        from: &InstanceName,
        hashes: &[u64],
        out: &mut Vec<FleetAction>,
    ) {
        let differing = self.table.differing(hashes);
        let is_empty = |bucket: &u8| hashes.get(usize::from(*bucket)) == Some(&0);
        let (missing, crossed): (Vec<u8>, Vec<u8>) = differing.into_iter().partition(is_empty);
        let rows = self.table.rows_in(&missing);
        self.send_rows(from, &rows, out);
        let mut buckets = Vec::new();
        let mut marks: Vec<RowMark> = Vec::new();
        for bucket in crossed {
            let more = self.table.marks(&[bucket]);
            if marks.len() + more.len() > MARKS_AT_ONCE {
                break;
            }
            marks.extend(more);
            buckets.push(bucket);
        }
        if !buckets.is_empty() {
            self.send_repair(from, ControlMessage::Marks { buckets, marks }, out);
        }
    }

    pub(crate) fn on_marks(
        &mut self,
        from: &InstanceName,
        buckets: &[u8],
        marks: &[RowMark],
        out: &mut Vec<FleetAction>,
    ) {
        let comparison = self.table.compare(buckets, marks);
        self.send_rows(from, &comparison.newer_here, out);
        let mut wanted = comparison.newer_there;
        wanted.truncate(MARKS_AT_ONCE);
        if !wanted.is_empty() {
            self.send_repair(from, ControlMessage::RowsWanted(wanted), out);
        }
    }

    pub(crate) fn on_rows_wanted(
        &mut self,
        from: &InstanceName,
        keys: &[u64],
        out: &mut Vec<FleetAction>,
    ) {
        let rows = keys.iter().filter_map(|key| self.table.by_key(*key));
        let rows: Vec<_> = rows.cloned().collect();
        self.send_rows(from, &rows, out);
    }

    fn send_rows(&mut self, to: &InstanceName, rows: &[MemberRow], out: &mut Vec<FleetAction>) {
        for part in rows.chunks(ROWS_AT_ONCE) {
            self.send_repair(to, ControlMessage::Rows(part.to_vec()), out);
        }
    }

    /// Sends an answer to a repair, unless too much was repaired of late.
    ///
    /// Failure guarded against: a herd of newcomers that all ask the same few
    /// nodes for everything. It shows as control bytes far above the budget at
    /// the nodes that survived. What is withheld is asked for again.
    pub(crate) fn send_repair(
        &mut self,
        to: &InstanceName,
        message: ControlMessage,
        out: &mut Vec<FleetAction>,
    ) {
        if self
            .repair_bucket
            .take(self.now, encoded_bytes(&message) as f64)
        {
            self.send(to, message, out);
        } else {
            self.counters.repairs_withheld += 1;
        }
    }

    pub(crate) fn crash_hold(&self) -> Duration {
        let fleet = self.config.current.as_ref();
        let policy = fleet.map_or_else(Default::default, |(_, preset)| preset.fleet());
        Duration::from_secs(u64::from(policy.poison_hold_s))
    }

    pub(crate) fn on_crashes(
        &mut self,
        from: &InstanceName,
        notes: Vec<CrashNote>,
        complete: bool,
        out: &mut Vec<FleetAction>,
    ) {
        let mut missing_there: Vec<CrashNote> = Vec::new();
        if complete {
            let held = self.crashes.notes(self.now);
            missing_there.extend(held.filter(|held| notes.iter().all(|note| note.row != held.row)));
        }
        let mut news = Vec::new();
        for note in notes {
            let expires_at = self.now + Duration::from_millis(u64::from(note.ms_left));
            if self.crashes.insert(note.row.clone(), expires_at) {
                out.push(FleetAction::CrashHeard(note.row.clone()));
                news.push(note.row);
            }
        }
        if !news.is_empty() {
            self.spread_crashes(Some(from), &news, out);
        }
        self.send_crashes(from, missing_there, false, out);
    }

    pub(crate) fn spread_crashes(
        &mut self,
        except: Option<&InstanceName>,
        rows: &[CrashRow],
        out: &mut Vec<FleetAction>,
    ) {
        let notes = self.crashes.notes(self.now);
        let notes: Vec<_> = notes.filter(|note| rows.contains(&note.row)).collect();
        let links = self.links.clone();
        for link in links.iter().filter(|link| Some(*link) != except) {
            self.send_crashes(link, notes.clone(), false, out);
        }
    }

    pub(crate) fn send_crashes(
        &mut self,
        to: &InstanceName,
        mut notes: Vec<CrashNote>,
        complete: bool,
        out: &mut Vec<FleetAction>,
    ) {
        notes.retain(|note| u128::from(note.ms_left) >= CRASH_LEFT_MIN.as_millis());
        notes.truncate(CRASHES_AT_ONCE);
        if complete || !notes.is_empty() {
            self.send_repair(to, ControlMessage::Crashes { notes, complete }, out);
        }
    }

    /// Chooses links and watchers anew from the rows known.
    pub(crate) fn choose_links(&mut self, out: &mut Vec<FleetAction>) {
        self.links_stale = false;
        let mut candidates = Vec::new();
        let mut members = 1;
        let mut watch_rank = 0;
        let own_score = mix(self.own_key ^ WATCH_SALT);
        for entry in self.table.entries() {
            let row = &entry.row;
            if row.state == MemberState::Gone || row.instance == self.own.instance {
                continue;
            }
            members += 1;
            let usable = row.state != MemberState::Suspect
                && !self.cut_off.contains(&row.data_centre)
                && !self.detector.is_silent(&row.instance);
            if !usable {
                continue;
            }
            let class = self.class_of(row);
            let ranked = class == LinkClass::Own && row.state != MemberState::Draining;
            if ranked && mix(entry.key ^ WATCH_SALT) > own_score {
                watch_rank += 1;
            }
            candidates.push(LinkCandidate {
                instance: &row.instance,
                key: entry.key,
                class,
            });
        }
        let usable = candidates.len();
        let chosen = choose_links(self.own_key, candidates);
        self.set_links(chosen, out);
        let settled = self.now.saturating_sub(self.started_at) >= ALONE_AFTER;
        let stays = self.own.state < MemberState::Draining;
        let joined = settled || (usable > 0 && self.config.current.is_some());
        let watches = watch_rank < WATCHERS && joined && stays;
        self.watch_rank = watches.then_some(watch_rank);
        self.links_stale |= !joined;
        self.desk
            .set_members(members.max(self.settings.planned_members as usize));
    }

    fn class_of(&self, row: &MemberRow) -> LinkClass {
        if row.data_centre == self.own.data_centre {
            LinkClass::Own
        } else if row.region == self.own.region {
            LinkClass::Near
        } else {
            LinkClass::Far
        }
    }

    fn set_links(&mut self, chosen: Vec<InstanceName>, out: &mut Vec<FleetAction>) {
        let now = self.now;
        let mut inbound: Vec<_> = self
            .peers
            .iter()
            .filter_map(|(name, peer)| Some((peer.chose_us_at?, name)))
            .filter(|(at, name)| {
                let member = self.table.get(name);
                now.saturating_sub(*at) < INBOUND_KEPT
                    && !chosen.contains(name)
                    && member.is_some_and(|row| row.state < MemberState::Gone)
                    && !self.detector.is_silent(name)
            })
            .collect();
        inbound.sort_unstable_by(|a, b| b.cmp(a));
        let mut links = chosen.clone();
        let inbound = inbound.into_iter().take(INBOUND_MAX);
        links.extend(inbound.map(|(_, name)| name.clone()));
        links.sort_unstable();
        let added: Vec<_> = chosen
            .iter()
            .filter(|name| !self.chosen.contains(name))
            .cloned()
            .collect();
        self.chosen = chosen;
        self.links = links;
        for name in added {
            self.greet(&name, out);
        }
    }
}
