//! Runs of requests whose connection to the backend server broke.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use super::{
    BreakCause, BreakDiagnosis, CrashRecord, crash_broadcast::CRASH_LEASE_TIME,
    first_break::FirstBreak,
};
use crate::member::EndpointStart;

/// Time for which a broken run is kept. If another start replaces its backend server in
/// that time, the run counts as a crash. The platform restarts a server within seconds.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Longest time from a crash to the first heartbeat after it. It applies to a backend
/// server that is restarted before a probe reaches it.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Maximum number of recent broken runs that are kept. It is enough for a backend server
/// that breaks every run for some seconds.
const RECENT_MAX: usize = 1_024;

/// Run whose connection broke before a response, and whose sender waits for the cause.
#[derive(Debug)]
pub(super) struct BrokenRun {
    pub(super) record: CrashRecord,
    /// Time at which the request was sent to the backend server.
    pub(super) sent_at: Duration,
    pub(super) diagnosis_sender: oneshot::Sender<BreakDiagnosis>,
}

/// Recent broken run that isn't counted as a crash.
#[derive(Debug)]
struct RecentRun {
    /// Time at which the run was diagnosed.
    at: Duration,
    cause: BreakCause,
    record: CrashRecord,
}

/// Runs whose connection broke before a response, and crashes waiting to be shared.
///
/// The inbound proxy adds broken runs; [`watch_crashes`](super::watch_crashes) takes them
/// out and diagnoses them.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    waiting: RefCell<Vec<BrokenRun>>,
    /// First break of the start whose runs broke last. Cleared when the start responds to what
    /// was sent after that.
    first_break: RefCell<Option<FirstBreak>>,
    recent: RefCell<Vec<RecentRun>>,
    /// Records of crashes that were detected only after the runs had another diagnosis.
    late_crashes: RefCell<Vec<CrashRecord>>,
    /// Number of batches of late crashes that are being sent to other nodes.
    late_batches_open: Cell<u32>,
    late_batch_notified: Notify,
    /// Crashes that were written to the store, with the time of the write.
    written: RefCell<Vec<(Duration, Vec<CrashRecord>)>>,
    /// Crashes that are to be written to the store again.
    unwritten: RefCell<Vec<Vec<CrashRecord>>>,
    /// Wakes the watcher for waiting runs, late crashes or crashes to be written again.
    pub(super) work_added: Notify,
}

impl BrokenRuns {
    /// Records that the connection of a run sent at `sent_at` broke now.
    ///
    /// The receiver gets the diagnosis once the backend server was probed. The channel closes
    /// without one when the backend server had crashed before the run was sent.
    pub fn push(
        &self,
        now: Duration,
        sent_at: Duration,
        record: CrashRecord,
    ) -> oneshot::Receiver<BreakDiagnosis> {
        let (diagnosis_sender, diagnosis) = oneshot::channel();
        let mut first = self.first_break.borrow_mut();
        let is_known =
            |first: &FirstBreak| first.start == record.start && now < first.at + RECENT_TIME;
        if !first.as_ref().is_some_and(is_known) {
            *first = Some(FirstBreak {
                start: record.start.clone(),
                at: now,
                is_unclear: false,
            });
        }
        self.waiting.borrow_mut().push(BrokenRun {
            record,
            sent_at,
            diagnosis_sender,
        });
        self.work_added.notify_one();
        diagnosis
    }

    /// Removes the runs that were sent after the first break of a start, and returns them.
    ///
    /// If the start has crashed, it had crashed by then, and these runs weren't running.
    pub(super) fn split_off_later(
        &self,
        start: &EndpointStart,
        runs: &mut Vec<BrokenRun>,
    ) -> Vec<BrokenRun> {
        let first = self.first_break.borrow();
        let Some(first) = first.as_ref().filter(|first| first.start == *start) else {
            return Vec::new();
        };
        runs.extract_if(.., |run| run.sent_at > first.at).collect()
    }

    /// Records that a probe couldn't tell whether a start crashed at its first break.
    pub(super) fn mark_unclear(&self, start: &EndpointStart) {
        let mut first = self.first_break.borrow_mut();
        if let Some(first) = first.as_mut().filter(|first| first.start == *start) {
            first.is_unclear = true;
        }
    }

    /// Returns whether a probe couldn't tell whether a start crashed at its first break.
    pub(super) fn is_unclear(&self, start: &EndpointStart) -> bool {
        let first = self.first_break.borrow();
        first
            .as_ref()
            .is_some_and(|first| first.start == *start && first.is_unclear)
    }

    /// Takes the records of the runs that broke at the first break of a start, if a probe after it was
    /// unclear.
    ///
    /// A later probe has shown meanwhile that the start doesn't run any more.
    pub(super) fn take_unclear(&self, start: &EndpointStart) -> Vec<CrashRecord> {
        let first = self.first_break.borrow();
        let Some(first) = first
            .as_ref()
            .filter(|first| first.start == *start && first.is_unclear)
        else {
            return Vec::new();
        };
        let mut recent = self.recent.borrow_mut();
        let runs = recent.extract_if(.., |run| {
            run.record.start == *start && run.cause == BreakCause::Unclear && run.at >= first.at
        });
        runs.map(|run| run.record).collect()
    }

    /// Forgets the first break of a start that responded to a probe.
    pub(super) fn clear_first_break(&self, start: &EndpointStart) {
        let mut first = self.first_break.borrow_mut();
        first.take_if(|first| first.start == *start);
    }

    /// Records that a start responded to a request sent at `sent_at`, as measured by the node's
    /// clock.
    ///
    /// A start that responds to what was sent after its first break didn't crash then.
    pub fn record_response(&self, start: &EndpointStart, sent_at: Duration) {
        let mut first = self.first_break.borrow_mut();
        first.take_if(|first| first.start == *start && sent_at > first.at);
    }

    /// Records that `instance` has replaced a start that ended without an announcement.
    ///
    /// A backend server that is restarted within milliseconds listens again before the probe comes,
    /// possibly under its old identifier. Runs that broke shortly before count as crashes, unless
    /// the earlier start responded to a probe after they broke.
    pub fn record_replacement(&self, now: Duration, ended: &EndpointStart, instance: &str) {
        let mut recent = self.recent.borrow_mut();
        let counts_as_crash = |run: &RecentRun| {
            let window = match run.cause {
                BreakCause::AnswerLost if ended.instance() != instance => return false,
                // The next start may have responded to the probe under the same identifier.
                BreakCause::AnswerLost => RESTART_TIME,
                BreakCause::Unclear | BreakCause::Crashed => RECENT_TIME,
            };
            run.record.start == *ended && now < run.at + window
        };
        let records = recent.iter().filter(|run| counts_as_crash(run));
        let records: Vec<CrashRecord> = records.map(|run| run.record.clone()).collect();
        recent.retain(|run| run.record.start != *ended);
        if !records.is_empty() {
            self.late_crashes.borrow_mut().extend(records);
            self.work_added.notify_one();
        }
    }

    /// Records crashes that were written to the store.
    pub(super) fn remember_written(&self, now: Duration, records: Vec<CrashRecord>) {
        let mut written = self.written.borrow_mut();
        written.retain(|(at, _)| now < *at + CRASH_LEASE_TIME);
        written.push((now, records));
    }

    /// Queues crashes that the store may have lost, so that they are written again.
    pub fn requeue_written(&self, now: Duration) {
        let written = self.written.take();
        let unexpired = written
            .into_iter()
            .filter(|(at, _)| now < *at + CRASH_LEASE_TIME);
        let records = unexpired.map(|(_, records)| records);
        self.unwritten.borrow_mut().extend(records);
        self.work_added.notify_one();
    }

    /// Takes the crashes that are to be written to the store again.
    pub(super) fn take_unwritten(&self) -> Vec<Vec<CrashRecord>> {
        self.unwritten.take()
    }

    /// Records a broken run that isn't counted as a crash.
    pub(super) fn remember(&self, now: Duration, cause: BreakCause, record: CrashRecord) {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|run| now < run.at + RECENT_TIME);
        if recent.len() < RECENT_MAX {
            let at = now;
            recent.push(RecentRun { at, cause, record });
        }
    }

    /// Takes the runs whose senders wait for a diagnosis.
    pub(super) fn take_waiting(&self) -> Vec<BrokenRun> {
        self.waiting.take()
    }

    /// Takes the records of late crashes as one batch; none when there are none.
    pub(super) fn take_late_crashes(&self) -> Option<Vec<CrashRecord>> {
        let records = self.late_crashes.take();
        if records.is_empty() {
            return None;
        }
        self.late_batches_open.set(self.late_batches_open.get() + 1);
        Some(records)
    }

    /// Records that other nodes were notified of one batch of late crashes.
    pub(super) fn record_late_notified(&self) {
        self.late_batches_open
            .set(self.late_batches_open.get().saturating_sub(1));
        self.late_batch_notified.notify_waiters();
    }

    /// Waits until other nodes were notified of the crashes found by [`Self::record_replacement`].
    pub async fn until_peers_notified(&self) {
        while self.late_batches_open.get() > 0 || !self.late_crashes.borrow().is_empty() {
            self.late_batch_notified.notified().await;
        }
    }
}
