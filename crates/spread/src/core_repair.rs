//! Repair of rows that were lost, by hashes and marks.

use geranium_model::{InstanceName, MemberRow};

use crate::{
    ControlMessage, FleetAction, FleetCore, RowMark, core_push::ROWS_AT_ONCE,
    fleet_core::encoded_bytes,
};

/// Marks in a message.
const MARKS_AT_ONCE: usize = 2_500;

impl FleetCore {
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
    /// nodes for everything, or one peer that asks again and again. It shows as
    /// control bytes far above the budget at the nodes that are asked. What is
    /// withheld is asked for again.
    pub(crate) fn send_repair(
        &mut self,
        to: &InstanceName,
        message: ControlMessage,
        out: &mut Vec<FleetAction>,
    ) {
        let (now, bytes) = (self.now, encoded_bytes(&message) as f64);
        let peer = self.peers.get_mut(to);
        let in_share = peer.is_some_and(|peer| peer.repairs.take(now, bytes));
        if in_share && self.repair_bucket.take(now, bytes) {
            self.send(to, message, out);
        } else {
            self.counters.repairs_withheld += 1;
        }
    }
}
