//! Which start of the backend server lives here, and whether it takes work.

use std::{collections::VecDeque, time::Duration};

use super::{EndpointReport, RefusalReason, ReportState};
use crate::member::{EndpointStart, MemberRecord, MemberState, StartOrder};

/// Ends remembered, so that a delayed heartbeat of an earlier start changes
/// nothing. Heartbeats are late by seconds; a backend server restarts in more.
const RETIRED_MAX: usize = 16;

/// What became of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Another start of the backend server was adopted.
    Adopted,
    /// What is announced of it changed.
    Changed,
    /// Nothing new.
    Unchanged,
    /// Late, or of an earlier start: ignored.
    Stale,
    /// Not of the backend server beside this node: ignored.
    Foreign,
}

/// The backend server that lives here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalEndpoint {
    /// Its last report.
    pub report: EndpointReport,
    /// Sequence of the report that last changed what is announced.
    pub changed_by: u64,
    /// Time for which it was to stay slow when it was first heard of.
    pub cold: Duration,
    /// Since when it has been leaving.
    pub leaving_since: Option<Duration>,
    /// Whether it has been ready in the time of this process.
    pub was_ready: bool,
    /// Whether it has said its farewell.
    pub deregistered: bool,
}

/// Which start of the backend server lives here, and whether it takes work.
///
/// Heartbeats may come late, cross one another, or belong to a start that has crashed
/// since. Taken at face value they would reopen a backend server that is leaving, or name
/// one that is gone. Reports of one start are ordered by their sequence, and starts by
/// the time at which they began, or by their first appearance where that isn't told;
/// ended starts stay ended. The backend server itself has the last word: it refuses
/// requests that expect another start and names the one that it is
/// ([`EndpointTracker::identified_as`]).
#[derive(Debug, Default)]
pub struct EndpointTracker {
    current: Option<LocalEndpoint>,
    retired: VecDeque<EndpointStart>,
}

impl EndpointTracker {
    /// Takes in a heartbeat.
    pub fn report(&mut self, now: Duration, report: EndpointReport) -> ReportOutcome {
        if self.is_retired(&report.start) {
            return ReportOutcome::Stale;
        }
        let current = self.current.as_mut();
        let known = current.map(|current| (report.start.order(&current.report.start), current));
        match known {
            Some((StartOrder::Same, current)) => update(current, now, report),
            Some((StartOrder::Earlier, _)) => ReportOutcome::Stale,
            Some((StartOrder::Later | StartOrder::Unknown, _)) | None => {
                self.adopt(now, report);
                ReportOutcome::Adopted
            }
        }
    }

    /// Takes in a farewell at the Unix time `unix_ms`; `true` if it concerns the
    /// one that lives here.
    ///
    /// One that doesn't say which start it is of concerns the start that lives
    /// here under that identifier. Is there none, it concerns every start that
    /// began before now: a later one under the same identifier is another.
    pub fn deregister(&mut self, now: Duration, start: EndpointStart, unix_ms: u64) -> bool {
        match &mut self.current {
            Some(current) if current.report.start.ended_with(&start) => {
                current.leaving_since.get_or_insert(now);
                current.deregistered = true;
                true
            }
            _ => {
                self.retire(start.with_default_born_ms(unix_ms));
                false
            }
        }
    }

    /// Takes in that the backend server named itself `instance`, and returns the start that
    /// has ended without having said that it leaves.
    pub fn identified_as(&mut self, instance: &str) -> Option<EndpointStart> {
        self.retired
            .retain(|retired| retired.instance() != instance);
        let other = |current: &LocalEndpoint| current.report.start.instance() != instance;
        if !self.current.as_ref().is_some_and(other) {
            return None;
        }
        let ended = self.current.take()?;
        self.retire(ended.report.start.clone());
        let unannounced = ended.leaving_since.is_none();
        unannounced.then_some(ended.report.start)
    }

    /// Takes in what this node announced before it was restarted.
    ///
    /// Only a leaving start is restored: the acknowledgment binds this
    /// process as well. A ready one is believed when it reports.
    pub fn restore(&mut self, now: Duration, record: &MemberRecord) {
        if self.current.is_some() || record.state != MemberState::Leaving {
            return;
        }
        let report = EndpointReport {
            start: record.start.clone(),
            service: record.service.clone(),
            data_centre: record.data_centre.clone(),
            slots: record.slots,
            state: ReportState::Leaving,
            cold: Duration::ZERO,
            sequence: record.sequence,
        };
        self.adopt(now, report);
    }

    /// Returns the start that lives here unless it has said that it leaves: were another to
    /// take its place now, its end would be unannounced.
    pub fn unannounced_end(&self) -> Option<EndpointStart> {
        let current = self.current.as_ref()?;
        let staying = current.leaving_since.is_none();
        staying.then(|| current.report.start.clone())
    }

    /// Returns the backend server that lives here, if one is known.
    pub const fn current(&self) -> Option<&LocalEndpoint> {
        self.current.as_ref()
    }

    /// Says whether a request that expects `instance` may go in.
    ///
    /// One that is leaving takes work for `grace` longer, in which the news
    /// reaches the other nodes. Where this process has only known it as leaving
    /// that time is over: another process acknowledged it, long ago maybe.
    ///
    /// # Errors
    ///
    /// The reason of the refusal.
    pub fn admits(
        &self,
        now: Duration,
        instance: Option<&str>,
        grace: Duration,
    ) -> Result<&LocalEndpoint, RefusalReason> {
        let current = self.current.as_ref().ok_or(RefusalReason::Shut)?;
        if instance.is_some_and(|instance| instance != current.report.start.instance()) {
            return Err(RefusalReason::OtherInstance);
        }
        match current.leaving_since {
            Some(since) if !current.was_ready || now >= since + grace => {
                Err(RefusalReason::Leaving)
            }
            _ => Ok(current),
        }
    }

    fn adopt(&mut self, now: Duration, report: EndpointReport) {
        let leaving = report.state == ReportState::Leaving;
        let next = LocalEndpoint {
            changed_by: report.sequence,
            cold: report.cold,
            report,
            leaving_since: leaving.then_some(now),
            was_ready: !leaving,
            deregistered: false,
        };
        if let Some(ended) = self.current.replace(next) {
            self.retire(ended.report.start);
        }
    }

    fn is_retired(&self, start: &EndpointStart) -> bool {
        self.retired.iter().any(|ended| start.ended_with(ended))
    }

    fn retire(&mut self, start: EndpointStart) {
        if self.is_retired(&start) {
            return;
        }
        if self.retired.len() == RETIRED_MAX {
            self.retired.pop_front();
        }
        self.retired.push_back(start);
    }
}

fn update(current: &mut LocalEndpoint, now: Duration, report: EndpointReport) -> ReportOutcome {
    if report.service != current.report.service {
        // A start serves one service all its life.
        return ReportOutcome::Foreign;
    }
    if report.sequence <= current.report.sequence {
        return ReportOutcome::Stale;
    }
    let told = |report: &EndpointReport| (report.state, report.slots);
    let changed = told(&report) != told(&current.report);
    current.leaving_since = match report.state {
        ReportState::Leaving => current.leaving_since.or(Some(now)),
        ReportState::Ready if current.deregistered => current.leaving_since,
        ReportState::Ready => None,
    };
    current.was_ready |= current.leaving_since.is_none();
    current.report = report;
    if changed {
        current.changed_by = current.report.sequence;
        ReportOutcome::Changed
    } else {
        ReportOutcome::Unchanged
    }
}
