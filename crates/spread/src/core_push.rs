//! Rows pushed along links as they change.

use geranium_model::{InstanceName, MemberRow};

use crate::{ControlMessage, FleetAction, FleetCore, fleet_core::encoded_bytes};

/// Rows in a message: with the longest names they stay below its limit.
pub(crate) const ROWS_AT_ONCE: usize = 150;

impl FleetCore {
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
}
