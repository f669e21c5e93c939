//! Starts of backend servers that have said that they leave.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{EndpointStart, MemberRecord, MemberState, StartOrder};

/// Number of starts that are remembered.
const STARTS_MAX: usize = 4_096;
/// Number of starts that are kept when there are too many, those that were heard of last.
const STARTS_KEPT: usize = 3_584;
/// Time for which a start is remembered. Backend servers end within a minute after they have left,
/// and late reports arrive within seconds.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// A start that has said that it leaves.
#[derive(Debug)]
struct LeftStart {
    start: EndpointStart,
    /// Number of the report in which it said so last.
    sequence: u64,
    /// Whether no later report readmits it.
    is_final: bool,
    /// Announcement of the leaving; none if only a response said so.
    record: Option<MemberRecord>,
    heard_at: Duration,
}

/// Starts of backend servers that have said that they leave, in announcements or in responses.
///
/// An announcement ends with its lease, and is lost when the store is restored from an older copy,
/// while a late report of the start may still arrive. What the start said holds all the same, so it
/// is remembered apart from the members. Reports of one start are ordered by their numbers, as the
/// order of revisions says nothing where the store has written an older announcement again.
#[derive(Debug, Default)]
pub(super) struct LeftStarts {
    /// By instance identifier: of starts with the same one, the one that was heard of last.
    starts: HashMap<String, LeftStart>,
}

impl LeftStarts {
    /// Remembers a start that said in a response that it leaves, and returns whether that is new.
    pub(super) fn insert_by_response(&mut self, now: Duration, start: &EndpointStart) -> bool {
        let known = self.take(start);
        let is_new = known.as_ref().is_none_or(|left| !left.is_final);
        let (sequence, record) =
            known.map_or((u64::MAX, None), |left| (left.sequence, left.record));
        self.push(LeftStart {
            start: start.clone(),
            sequence,
            is_final: true,
            record: record.map(|record| MemberRecord {
                is_final: true,
                ..record
            }),
            heard_at: now,
        });
        is_new
    }

    /// Learns from an announcement that its start leaves, or that it doesn't leave any more.
    pub(super) fn observe(&mut self, now: Duration, record: &MemberRecord) {
        if let Some(left_before) = &record.left_before
            && self.get(left_before).is_none()
        {
            self.push(LeftStart {
                start: left_before.clone(),
                sequence: u64::MAX,
                is_final: true,
                record: None,
                heard_at: now,
            });
        }
        if self.is_outdated(record) {
            return;
        }
        let known = self.take(&record.start);
        if record.state != MemberState::Leaving {
            return;
        }
        let is_final = record.is_final || known.is_some_and(|left| left.is_final);
        self.push(LeftStart {
            start: record.start.clone(),
            sequence: record.sequence,
            is_final,
            record: Some(MemberRecord {
                is_final,
                ..record.clone()
            }),
            heard_at: now,
        });
    }

    /// Returns whether the start of a record has left: it said so for good, or in a later report.
    pub(super) fn contains(&self, record: &MemberRecord) -> bool {
        record.state == MemberState::Ready && self.is_outdated(record)
    }

    /// Returns the announcements of leaving, in the order in which they were last heard of.
    pub(super) fn records(&self) -> Vec<&MemberRecord> {
        let mut starts: Vec<&LeftStart> = self.starts.values().collect();
        starts.sort_unstable_by_key(|left| left.heard_at);
        let records = starts.into_iter().filter_map(|left| left.record.as_ref());
        records.collect()
    }

    /// Forgets the starts that must have ended.
    pub(super) fn sweep(&mut self, now: Duration) {
        self.starts
            .retain(|_, left| now < left.heard_at + MEMORY_TIME);
    }

    /// Returns whether the start of a record has said later, or for good, that it leaves.
    fn is_outdated(&self, record: &MemberRecord) -> bool {
        let Some(left) = self.get(&record.start) else {
            return false;
        };
        match record.state {
            // A node that stops announces leaving with the number of a report of readiness.
            MemberState::Ready => left.is_final || left.sequence > record.sequence,
            MemberState::Leaving => {
                let adds_final = record.is_final && !left.is_final;
                left.record.is_some() && left.sequence >= record.sequence && !adds_final
            }
        }
    }

    fn get(&self, start: &EndpointStart) -> Option<&LeftStart> {
        let left = self.starts.get(start.instance());
        left.filter(|left| left.start.order(start) == StartOrder::Same)
    }

    fn take(&mut self, start: &EndpointStart) -> Option<LeftStart> {
        self.get(start)?;
        self.starts.remove(start.instance())
    }

    fn push(&mut self, left: LeftStart) {
        self.starts.insert(left.start.instance().to_owned(), left);
        if self.starts.len() > STARTS_MAX {
            let mut starts: Vec<(Reverse<Duration>, String)> = self
                .starts
                .iter()
                .map(|(instance, left)| (Reverse(left.heard_at), instance.clone()))
                .collect();
            starts.sort_unstable();
            for (_, instance) in starts.drain(STARTS_KEPT..) {
                self.starts.remove(&instance);
            }
        }
    }
}
