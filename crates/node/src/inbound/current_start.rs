//! The current start of the local backend server.

use std::time::Duration;

use super::{EndpointReport, ReportOutcome, ReportState};
use crate::member::{EndpointStart, StartOrder};

/// The current start of the local backend server, as its reports describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentStart {
    /// Last report that was accepted.
    pub report: EndpointReport,
    /// Sequence number of the report that last changed the announcement.
    pub announced_sequence: u64,
    /// Slow-start time that was left at the first report.
    pub cold: Duration,
    /// End of the slow start.
    pub cold_until: Duration,
    /// Time at which the start began to leave; `None` if it isn't leaving.
    pub leaving_since: Option<Duration>,
    /// Whether the start has been ready during the lifetime of this process.
    pub was_ready: bool,
    /// Sequence number of the first report to this process in which the start leaves; `None` if
    /// there is none, or a later one said that it is ready.
    pub leaving_sequence: Option<u64>,
    /// Whether the start has deregistered.
    pub deregistered: bool,
    /// Time at which the request was sent in whose response the start said last that it leaves, in Unix
    /// milliseconds; `None` if it hasn't said so.
    pub said_leaving_at: Option<u64>,
    /// Start of the same identifier, earlier by its clock, that said last that it leaves; `None` once
    /// this start has reported as ready since.
    pub misdated: Option<EndpointStart>,
}

impl CurrentStart {
    /// Returns whether the start has said that it leaves, in a report, a deregistration or a response.
    pub(super) fn has_left(&self) -> bool {
        self.report.state == ReportState::Leaving || self.has_left_for_good()
    }

    /// Records the deregistration of `start`, which is this start or a later one of the same identifier.
    pub(super) fn deregister(&mut self, now: Duration, start: EndpointStart) {
        self.leaving_since.get_or_insert(now);
        self.deregistered = true;
        if start.order(&self.report.start) == StartOrder::Later {
            // No report of the later start has arrived, and late ones don't count any more.
            self.report.start = start;
        }
    }

    /// Records that `start`, which is earlier than this one by its clock, says that it leaves. Returns
    /// whether this start wasn't leaving before.
    ///
    /// The clock may have been set back between the two, and then `start` is the running one. If its
    /// report was late instead, the next report of this start readmits requests.
    pub(super) fn leave_as(&mut self, now: Duration, start: EndpointStart) -> bool {
        let was_leaving = self.leaving_since.is_some();
        self.leaving_since.get_or_insert(now);
        self.report.state = ReportState::Leaving;
        self.misdated = Some(start);
        !was_leaving
    }

    /// Whether `start` began after one of the same identifier whose clock had been set back.
    ///
    /// Where this start has left for good, the two may as well be earlier starts whose reports are
    /// late.
    pub(super) fn is_followed_by(&self, start: &EndpointStart) -> bool {
        let misdated = self.misdated.as_ref();
        let misdated = misdated.filter(|_| !self.has_left_for_good());
        misdated.is_some_and(|misdated| {
            start.instance() == misdated.instance() && start.order(misdated) == StartOrder::Later
        })
    }

    /// Whether a leaving of `start` is announced as one of this start.
    pub fn stands_for(&self, start: &EndpointStart) -> bool {
        self.report.start.ended_with(start) || self.misdated.as_ref() == Some(start)
    }

    /// Whether this start may have answered a request that was sent to `start` at `sent_unix_ms`.
    pub(super) fn may_have_answered(&self, start: &EndpointStart, sent_unix_ms: u64) -> bool {
        let own = &self.report.start;
        let had_begun = own.born_ms().is_none_or(|born_ms| born_ms <= sent_unix_ms);
        own.ended_with(start) || (own.instance() == start.instance() && had_begun)
    }

    /// Returns whether no later report of the start readmits it.
    pub const fn has_left_for_good(&self) -> bool {
        self.deregistered || self.said_leaving_at.is_some()
    }

    /// Processes a later report of this start and returns its effect.
    pub(super) fn update(&mut self, now: Duration, report: EndpointReport) -> ReportOutcome {
        if report.service != self.report.service {
            // A start serves the same service for its whole lifetime.
            return ReportOutcome::Foreign;
        }
        if report.sequence <= self.report.sequence {
            return ReportOutcome::Stale;
        }
        let announced = |report: &EndpointReport| (report.state, report.slots);
        let leaving = report.state == ReportState::Leaving;
        // An earlier process may have announced the leaving because it stopped, with a lower number.
        let first_leaving = leaving && self.leaving_sequence.is_none();
        let changed = first_leaving || announced(&report) != announced(&self.report);
        if changed {
            self.leaving_sequence = leaving.then_some(report.sequence);
        }
        self.leaving_since = match report.state {
            ReportState::Leaving => self.leaving_since.or(Some(now)),
            // Heartbeats are sent every second or so, and may be older than the response.
            ReportState::Ready if self.has_left_for_good() => self.leaving_since,
            ReportState::Ready => None,
        };
        if !leaving {
            self.misdated = None;
        }
        self.was_ready |= self.leaving_since.is_none();
        self.report = report;
        if changed {
            self.announced_sequence = self.report.sequence;
            ReportOutcome::Changed
        } else {
            ReportOutcome::Unchanged
        }
    }
}
