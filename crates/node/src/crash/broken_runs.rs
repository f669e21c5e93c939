//! Runs whose connection to the backend server broke.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::{Notify, oneshot};

use super::{BreakCause, BreakDiagnosis, CrashRecord, crash_news::CRASH_LEASE};
use crate::member::EndpointStart;

/// Time for which a broken run is remembered. If another start replaces its backend server
/// within it, the run counts as a crash. The platform restarts a server within seconds.
const RECENT_TIME: Duration = Duration::from_secs(10);
/// Longest time from the crash of a backend server that is restarted before a probe reaches
/// it to its first heartbeat.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Maximum number of remembered runs, enough for a backend server that breaks every run for
/// some seconds.
const RECENT_MAX: usize = 1_024;

/// A run whose connection broke before an answer, and whose sender waits for the cause.
#[derive(Debug)]
pub(super) struct BrokenRun {
    pub(super) row: CrashRecord,
    /// When it was sent.
    pub(super) began: Duration,
    pub(super) found: oneshot::Sender<BreakDiagnosis>,
}

/// A recent broken run that isn't counted as a crash.
#[derive(Debug)]
struct RecentRun {
    at: Duration,
    cause: BreakCause,
    row: CrashRecord,
}

/// Runs whose connection to the backend server broke before an answer.
#[derive(Debug, Default)]
pub struct BrokenRuns {
    waiting: RefCell<Vec<BrokenRun>>,
    /// The start whose runs broke last, with the time of the first break since it was last
    /// seen to live.
    first_break: RefCell<Option<(EndpointStart, Duration)>>,
    recent: RefCell<Vec<RecentRun>>,
    /// Rows of starts that were found to have crashed after their runs were settled.
    late: RefCell<Vec<CrashRecord>>,
    /// Number of batches of such rows that are being sent to other nodes.
    late_open: Cell<u32>,
    late_told: Notify,
    /// Crashes that were written to the store, with the time of the write.
    written: RefCell<Vec<(Duration, Vec<CrashRecord>)>>,
    /// Crashes to be written to the store again.
    unwritten: RefCell<Vec<Vec<CrashRecord>>>,
    pub(super) heard: Notify,
}

impl BrokenRuns {
    /// Records that the connection of a run, sent at `began`, broke now. The receiver gets
    /// the cause once it is known; nothing when the backend server had crashed before the run
    /// was sent.
    pub fn push(
        &self,
        now: Duration,
        began: Duration,
        row: CrashRecord,
    ) -> oneshot::Receiver<BreakDiagnosis> {
        let (found, diagnosis) = oneshot::channel();
        let mut first = self.first_break.borrow_mut();
        if first.as_ref().is_none_or(|(start, _)| *start != row.start) {
            *first = Some((row.start.clone(), now));
        }
        self.waiting
            .borrow_mut()
            .push(BrokenRun { row, began, found });
        self.heard.notify_one();
        diagnosis
    }

    /// Drops the runs that were sent to a start after it crashed: they weren't running then.
    pub(super) fn drop_later(&self, start: &EndpointStart, runs: &mut Vec<BrokenRun>) {
        let first = self.first_break.borrow();
        let crash = first.as_ref().filter(|(crashed, _)| crashed == start);
        if let Some((_, at)) = crash {
            runs.retain(|run| run.began <= *at);
        }
    }

    /// Records that a start wasn't found to have crashed.
    pub(super) fn not_crashed(&self, start: &EndpointStart) {
        let mut first = self.first_break.borrow_mut();
        if first.as_ref().is_some_and(|(broken, _)| broken == start) {
            *first = None;
        }
    }

    /// Records that `instance` has replaced a start that didn't announce its end.
    ///
    /// A backend server that is restarted within milliseconds listens again before a probe
    /// finds it gone, possibly under its old identifier. Runs that broke shortly before count
    /// as crashes, unless the earlier start answered a probe after they broke.
    pub fn replaced(&self, now: Duration, ended: &EndpointStart, instance: &str) {
        let mut recent = self.recent.borrow_mut();
        let crashed = |run: &RecentRun| {
            let since = match run.cause {
                BreakCause::AnswerLost if ended.instance() != instance => return false,
                // What answered may have been the next start already.
                BreakCause::AnswerLost => RESTART_TIME,
                BreakCause::Unclear | BreakCause::Crashed => RECENT_TIME,
            };
            run.row.start == *ended && now < run.at + since
        };
        let rows = recent.iter().filter(|run| crashed(run));
        let rows: Vec<CrashRecord> = rows.map(|run| run.row.clone()).collect();
        recent.retain(|run| run.row.start != *ended);
        if !rows.is_empty() {
            self.late.borrow_mut().extend(rows);
            self.heard.notify_one();
        }
    }

    /// Records crashes that were written to the store.
    pub(super) fn remember_written(&self, now: Duration, rows: Vec<CrashRecord>) {
        let mut written = self.written.borrow_mut();
        written.retain(|(at, _)| now < *at + CRASH_LEASE);
        written.push((now, rows));
    }

    /// Queues the crashes that the store may have lost, to be written again.
    pub fn write_again(&self, now: Duration) {
        let written = self.written.take();
        let lasting = written
            .into_iter()
            .filter(|(at, _)| now < *at + CRASH_LEASE);
        let rows = lasting.map(|(_, rows)| rows);
        self.unwritten.borrow_mut().extend(rows);
        self.heard.notify_one();
    }

    /// Takes the crashes that are to be written again.
    pub(super) fn take_unwritten(&self) -> Vec<Vec<CrashRecord>> {
        self.unwritten.take()
    }

    /// Records a broken run that isn't counted as a crash.
    pub(super) fn remember(&self, now: Duration, cause: BreakCause, row: CrashRecord) {
        let mut recent = self.recent.borrow_mut();
        recent.retain(|run| now < run.at + RECENT_TIME);
        if recent.len() < RECENT_MAX {
            let at = now;
            recent.push(RecentRun { at, cause, row });
        }
    }

    /// Takes the runs whose senders wait.
    pub(super) fn take_waiting(&self) -> Vec<BrokenRun> {
        self.waiting.take()
    }

    /// Takes the rows of starts that turned out to have crashed, if there are any.
    pub(super) fn take_late(&self) -> Option<Vec<CrashRecord>> {
        let rows = self.late.take();
        if rows.is_empty() {
            return None;
        }
        self.late_open.set(self.late_open.get() + 1);
        Some(rows)
    }

    /// Notes that other nodes know of the rows that were taken.
    pub(super) fn told_late(&self) {
        self.late_open.set(self.late_open.get().saturating_sub(1));
        self.late_told.notify_waiters();
    }

    /// Waits until other nodes have been told of the crashes found by [`Self::replaced`].
    pub async fn until_late_told(&self) {
        while self.late_open.get() > 0 || !self.late.borrow().is_empty() {
            self.late_told.notified().await;
        }
    }
}
