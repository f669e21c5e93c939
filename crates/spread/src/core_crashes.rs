//! Crash rows: flooded along links, repaired by digests.

use std::time::Duration;

use geranium_model::{CrashRow, InstanceName};

use crate::{ControlMessage, CrashNote, FleetAction, FleetCore};

/// Crash rows in a message.
const CRASHES_AT_ONCE: usize = 500;
/// Crash rows that expire sooner aren't passed on: nodes drop them at slightly
/// different moments, and would hand them to each other for ever.
const CRASH_LEFT_MIN: Duration = Duration::from_secs(5);

impl FleetCore {
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
}
