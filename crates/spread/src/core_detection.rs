//! Failure detection: suspicion, refutation's patience, and splits.

use std::time::Duration;

use geranium_model::{InstanceName, MemberRow, MemberState};
use rand::{RngExt, seq::IndexedRandom};

use crate::{ControlMessage, FleetAction, FleetCore, failure_detector::ProbeOutcome};

/// Time a suspect has to refute, counted by a neighbour that hears nothing: ten
/// rounds of digests, and longer than a pause for collecting garbage.
const SUSPECT_TIME: Duration = Duration::from_secs(10);
/// The same, counted by everybody else, in case its neighbours are lost too.
const SUSPECT_TIME_FAR: Duration = Duration::from_secs(30);
/// Time for which a cut-off data centre's rows are kept: regions lose each
/// other for an hour now and then.
const CUT_OFF_KEPT: Duration = Duration::from_secs(2 * 3_600);
/// Time for which a tombstone is kept: longer than a split, so that no far side
/// brings a member back that left meanwhile.
const TOMBSTONE_KEPT: Duration = Duration::from_secs(3 * 3_600);
/// A node that heard nobody for this long may itself be cut off. Shorter than
/// the wait for indirect checks, within which those asked answer: a node that
/// lost its network during a check must not blame the one it checked.
const ALONE_AFTER: Duration = Duration::from_millis(1_400);
/// Members of the same data centre asked to check another: they may judge it.
const NEAR_CHECKS: usize = 2;
/// Links elsewhere asked to, in case that data centre is hard to reach.
const FAR_CHECKS: usize = 1;
/// Members of a data centre from which on half of them silent is a split.
const SPLIT_MEMBERS_MIN: usize = 6;
/// Gap between messages to a member out of reach, to find that it is back.
const HEAL_GAP: Duration = Duration::from_secs(5);
/// Time after which a peer that isn't a member is forgotten.
const PEER_KEPT: Duration = Duration::from_secs(60);

impl FleetCore {
    pub(crate) fn on_probe_request(
        &mut self,
        from: &InstanceName,
        target: &InstanceName,
        out: &mut Vec<FleetAction>,
    ) {
        // Whoever asks may be the one that is cut off: an answer tells it.
        self.reply(from, out);
        let row = self.table.get(target);
        let may_judge = row.is_some_and(|row| row.data_centre == self.own.data_centre);
        if row.is_some() && self.detector.relay(self.now, target.clone(), from.clone()) {
            // This node may be in a position to judge where the other isn't.
            if may_judge {
                let alone = self.is_alone();
                self.detector.check(self.now, target, alone);
            }
            self.ask(target, out);
        }
    }

    /// Moves checks on and acts on what they came to.
    pub(crate) fn advance_detector(&mut self, out: &mut Vec<FleetAction>) {
        let alone = self.is_alone();
        for outcome in self.detector.advance(self.now, alone) {
            match outcome {
                ProbeOutcome::AskOthers(target) => self.ask_others(&target, out),
                ProbeOutcome::Silent { target, excused } => {
                    self.links_stale = true;
                    // Another member reaches it: the path is broken, not it.
                    if !excused {
                        self.suspect(&target, out);
                    }
                }
            }
        }
    }

    fn ask_others(&mut self, target: &InstanceName, out: &mut Vec<FleetAction>) {
        self.ask(target, out);
        let place = self.table.get(target).map(|row| row.data_centre.clone());
        let usable = |row: &&MemberRow| {
            row.instance != *target
                && row.instance != self.own.instance
                && row.state != MemberState::Suspect
                && !self.cut_off.contains(&row.data_centre)
                && !self.detector.is_silent(&row.instance)
        };
        let rows = self.table.rows().filter(usable);
        let (near, far): (Vec<_>, Vec<_>) =
            rows.partition(|row| Some(&row.data_centre) == place.as_ref());
        let far = far
            .into_iter()
            .filter(|row| self.links.contains(&row.instance));
        let far: Vec<_> = far.collect();
        let mut asked: Vec<InstanceName> = Vec::new();
        for (rows, count) in [(near, NEAR_CHECKS), (far, FAR_CHECKS)] {
            let chosen = rows.sample(&mut self.rng, count);
            asked.extend(chosen.map(|row| row.instance.clone()));
        }
        for other in asked {
            self.send(&other, ControlMessage::ProbeRequest(target.clone()), out);
        }
    }

    /// Suspects a member, if this node is in a position to judge.
    ///
    /// Failure guarded against: one side's silence taken for the other's death.
    /// It shows as half the fleet suspected at once, on both sides, and as many
    /// refutations on the mend. A node judges only members of its own data
    /// centre, and none while it hears nobody itself.
    fn suspect(&mut self, target: &InstanceName, out: &mut Vec<FleetAction>) {
        let Some(row) = self.table.get(target).cloned() else {
            return;
        };
        if self.is_alone() || !self.may_judge(&row) {
            return;
        }
        match row.state {
            MemberState::Suspect | MemberState::Gone => {}
            MemberState::Draining => {
                self.suspects.entry(row.instance).or_insert(self.now);
            }
            _ => {
                self.counters.suspected += 1;
                self.overrule(row, MemberState::Suspect, out);
            }
        }
    }

    /// Reports whether this node heard nobody of late.
    fn is_alone(&self) -> bool {
        self.now.saturating_sub(self.heard_any_at) > ALONE_AFTER
    }

    /// Reports whether this node may judge a member: it is of the same data
    /// centre, or the only one of its own.
    fn may_judge(&self, row: &MemberRow) -> bool {
        let mut rows = self.table.rows();
        row.data_centre == self.own.data_centre
            || rows.all(|other| {
                other.data_centre != row.data_centre
                    || other.instance == row.instance
                    || other.state == MemberState::Suspect
            })
    }

    fn overrule(&mut self, mut row: MemberRow, state: MemberState, out: &mut Vec<FleetAction>) {
        row.state = state;
        self.take_row(None, &row, out);
    }

    /// Does what only the passing of time makes due.
    pub(crate) fn scan(&mut self, out: &mut Vec<FleetAction>) {
        self.detector.recheck(self.now);
        self.crashes.expire(self.now);
        self.note_cut_off();
        self.end_suspicions(out);
        self.table
            .drop_tombstones(self.now.saturating_sub(TOMBSTONE_KEPT));
        self.heal(out);
        self.keep_seeds();
        let (table, now) = (&self.table, self.now);
        self.peers.retain(|name, peer| {
            table.get(name).is_some() || now.saturating_sub(peer.heard_at) < PEER_KEPT
        });
        // Links that others chose lapse with time.
        self.links_stale = true;
    }

    fn note_cut_off(&mut self) {
        let mut cut_off = Vec::new();
        let mut lost = Vec::new();
        for row in self.table.rows() {
            let other = row.data_centre != self.own.data_centre;
            let known = cut_off.last() == Some(&row.data_centre);
            if !other || known {
                continue;
            }
            let silence = self.beats.silent_for(self.now, &row.data_centre);
            if silence.is_some() && !cut_off.contains(&row.data_centre) {
                cut_off.push(row.data_centre.clone());
            }
            if silence.is_some_and(|silence| silence > CUT_OFF_KEPT) {
                lost.push(row.data_centre.clone());
            }
        }
        self.cut_off = cut_off;
        if !lost.is_empty() {
            self.drop_lost(&lost);
        }
    }

    /// Gives up the rows of data centres that were cut off for too long.
    ///
    /// Each node does so by its own count, and tells nobody.
    fn drop_lost(&mut self, lost: &[geranium_model::DataCentre]) {
        let rows: Vec<_> = self
            .table
            .rows()
            .filter(|row| lost.contains(&row.data_centre))
            .cloned()
            .collect();
        for mut row in rows {
            row.state = MemberState::Gone;
            self.table.merge(self.now, &row);
            self.suspects.remove(&row.instance);
            self.detector.forget(&row.instance);
        }
    }

    /// Declares suspects gone whose time is up.
    fn end_suspicions(&mut self, out: &mut Vec<FleetAction>) {
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(name, since)| {
                let near = self.detector.is_silent(name);
                let time = if near { SUSPECT_TIME } else { SUSPECT_TIME_FAR };
                self.now.saturating_sub(**since) >= time
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let Some(row) = self.table.get(&name).cloned() else {
                self.suspects.remove(&name);
                continue;
            };
            let draining_and_heard =
                row.state == MemberState::Draining && !self.detector.is_silent(&name);
            if draining_and_heard {
                self.suspects.remove(&name);
            } else if !self.is_split(&row) {
                self.overrule(row, MemberState::Gone, out);
            }
        }
    }

    /// Reports whether so much of a member's data centre is silent that a split
    /// is likelier than failures: suspects there are held, not given up.
    fn is_split(&self, row: &MemberRow) -> bool {
        if self.cut_off.contains(&row.data_centre) {
            return true;
        }
        let rows = self.table.rows();
        let (mut members, mut silent) = (0, 0);
        for other in rows.filter(|other| other.data_centre == row.data_centre) {
            members += 1;
            silent += usize::from(other.state == MemberState::Suspect);
        }
        let since = self.suspects.get(&row.instance);
        let held = since.map_or(Duration::ZERO, |since| self.now.saturating_sub(*since));
        members >= SPLIT_MEMBERS_MIN && 2 * silent >= members && held < CUT_OFF_KEPT
    }

    /// Now and then greets a member out of reach, in case it is back.
    ///
    /// Failure guarded against: two halves that have forgotten each other and
    /// never meet again. Tombstones count, since a thawed instance may be
    /// behind one.
    fn heal(&mut self, out: &mut Vec<FleetAction>) {
        if self.now < self.next_heal {
            return;
        }
        self.next_heal = self.now + HEAL_GAP.mul_f64(self.rng.random_range(0.5..1.5));
        let lost: Vec<_> = self
            .table
            .entries()
            .map(|entry| &entry.row)
            .filter(|row| {
                row.instance != self.own.instance
                    && (row.state >= MemberState::Suspect && row.state != MemberState::Draining
                        || self.cut_off.contains(&row.data_centre))
            })
            .map(|row| row.instance.clone())
            .collect();
        if let Some(name) = lost.choose(&mut self.rng) {
            self.ask(name, out);
        }
    }
}
