//! Tracks which start of the local backend server is current and whether it is sent requests.

use std::time::Duration;

use super::{
    EndpointReport, RefusalReason, ReportState, current_start::CurrentStart,
    ended_starts::EndedStarts,
};
use crate::member::{EndpointStart, MemberRecord, MemberState, StartOrder};

/// Effect of a heartbeat on the tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Another start of the backend server became the current one.
    Adopted,
    /// The announced state or number of slots changed, or this process hears of the leaving for the
    /// first time.
    Changed,
    /// The announced state and number of slots are the same as before.
    Unchanged,
    /// The heartbeat was late or of an earlier start, and was ignored.
    Stale,
    /// The heartbeat wasn't from the local backend server, and was ignored.
    Foreign,
}

/// Tracks which start of the local backend server is current.
///
/// The tracker also decides whether a request for that start is admitted.
///
/// Heartbeats may be late, out of order, or from a start that has crashed since. If all were
/// accepted, they would readmit requests to a backend server that is leaving, or name one that is
/// gone. Reports of one start are ordered by their sequence number. Starts are ordered by the time
/// at which they began, or by their first report where that time is unknown, and ended starts stay
/// ended. The response of the backend server itself overrides heartbeats: it refuses requests that
/// expect another start and names its own ([`EndpointTracker::record_instance`]).
#[derive(Debug, Default)]
pub struct EndpointTracker {
    current: Option<CurrentStart>,
    ended: EndedStarts,
    /// Start that left and was replaced by one that may be earlier, so that it may still run.
    left_before: Option<EndpointStart>,
    /// Announcement of this node's earlier process, while no start is known.
    announced: Option<MemberRecord>,
}

impl EndpointTracker {
    /// Processes a heartbeat and returns its effect.
    pub fn report(&mut self, now: Duration, report: EndpointReport) -> ReportOutcome {
        if report.state == ReportState::Leaving
            && self.is_current_service(&report.service)
            && let Some(is_news) = self.leave_misdated(now, &report.start)
        {
            return if is_news {
                ReportOutcome::Changed
            } else {
                ReportOutcome::Unchanged
            };
        }
        if !self.is_current(&report.start) && self.ended.contains(&report.start) {
            return ReportOutcome::Stale;
        }
        let current = self.current.as_mut();
        let order_and_current =
            current.map(|current| (report.start.order(&current.report.start), current));
        match order_and_current {
            Some((StartOrder::Same, current)) => current.update(now, report),
            // The instance's address may have been given to another machine, whose clock differs.
            Some((StartOrder::Earlier, current))
                if current.has_left_for_good()
                    && current.report.start.instance() != report.start.instance() =>
            {
                self.left_before = Some(current.report.start.clone());
                self.adopt(now, report);
                ReportOutcome::Adopted
            }
            Some((StartOrder::Earlier, current)) if current.is_followed_by(&report.start) => {
                self.adopt(now, report);
                ReportOutcome::Adopted
            }
            Some((StartOrder::Earlier, _)) => ReportOutcome::Stale,
            Some((order, current)) => {
                let may_run = order == StartOrder::Unknown && current.has_left();
                self.left_before = may_run.then(|| current.report.start.clone());
                let said_leaving_at = current.said_leaving_at;
                let is_same_instance = current.report.start.instance() == report.start.instance();
                self.adopt(now, report);
                if is_same_instance {
                    self.inherit_leaving(now, said_leaving_at);
                }
                ReportOutcome::Adopted
            }
            None => {
                self.adopt(now, report);
                ReportOutcome::Adopted
            }
        }
    }

    /// Processes a deregistration at the Unix time `unix_ms`, in milliseconds. Returns `true` if
    /// it applies to the current start.
    ///
    /// A deregistration without the time at which its start began applies to the current start
    /// with that identifier. If there is none, it applies to every start with that identifier that
    /// began before `unix_ms`: a later one is a different start.
    pub fn deregister(&mut self, now: Duration, start: EndpointStart, unix_ms: u64) -> bool {
        if self.leave_misdated(now, &start).is_some() {
            return true;
        }
        match &mut self.current {
            Some(current) if current.report.start.ended_with(&start) => {
                current.deregister(now, start);
                true
            }
            Some(_) => {
                self.ended.insert(start.with_default_born_ms(unix_ms), true);
                false
            }
            None => {
                let announced = self
                    .announced
                    .take_if(|record| record.start.ended_with(&start));
                match &announced {
                    Some(record) => {
                        self.adopt_left(now, record);
                        if let Some(current) = &mut self.current {
                            current.deregister(now, start);
                        }
                    }
                    None => self.ended.insert(start.with_default_born_ms(unix_ms), true),
                }
                announced.is_some()
            }
        }
    }

    /// Makes the start of `report` the current one, which has deregistered, if neither a report nor an
    /// announcement of any start is known. Returns whether it did.
    ///
    /// Such a start is announced as left, so that a later process of the node knows of it.
    pub fn adopt_unreported(&mut self, now: Duration, report: EndpointReport) -> bool {
        let is_unknown = self.current.is_none() && self.announced.is_none();
        if is_unknown {
            self.adopt(now, report);
            if let Some(current) = &mut self.current {
                current.deregistered = true;
            }
        }
        is_unknown
    }

    /// Processes a response that says that the backend server leaves. Returns `true` if the current
    /// start hadn't said so in a response before.
    ///
    /// The request was sent to `start` at the Unix time `sent_unix_ms`, in milliseconds. A response
    /// doesn't name its start: where a later one with the same identifier had begun by then, the
    /// response is of that one.
    pub fn record_leaving(
        &mut self,
        now: Duration,
        start: &EndpointStart,
        sent_unix_ms: u64,
    ) -> bool {
        let current = self.current.as_mut();
        let Some(current) =
            current.filter(|current| current.may_have_answered(start, sent_unix_ms))
        else {
            return false;
        };
        current.leaving_since.get_or_insert(now);
        let said_before = current.said_leaving_at.replace(sent_unix_ms);
        said_before.is_none()
    }

    /// Processes the instance identifier that the backend server gave in a response. Returns the
    /// previous start if it ended without announcing that it was leaving.
    ///
    /// A start of that identifier which was taken for ended may be used again, unless it has said that
    /// it leaves.
    pub fn record_instance(&mut self, instance: &str) -> Option<EndpointStart> {
        self.ended.remove_running(instance);
        let is_other_start = |current: &CurrentStart| current.report.start.instance() != instance;
        if !self.current.as_ref().is_some_and(is_other_start) {
            return None;
        }
        let ended = self.current.take()?;
        self.ended
            .insert(ended.report.start.clone(), ended.has_left());
        let unannounced = ended.leaving_since.is_none();
        unannounced.then_some(ended.report.start)
    }

    /// Restores the leaving state that this node announced before its restart.
    ///
    /// A ready start isn't restored but accepted at its next report. A leaving start is restored
    /// because the acknowledgment of its leaving binds this process as well, also if a late report
    /// arrived before the announcement.
    ///
    /// Returns whether the announcement made a start leave, which this process didn't know of.
    pub fn restore(&mut self, now: Duration, record: &MemberRecord) -> bool {
        let leaving_before = self.leaving_start();
        self.apply_announced(now, record);
        let leaving = self.leaving_start();
        leaving.is_some() && leaving != leaving_before
    }

    /// Learns of a leaving that another node has heard of, and returns whether that is news.
    ///
    /// An earlier process of this node acknowledged it, and its announcement may be lost.
    pub fn learn_left(&mut self, now: Duration, record: &MemberRecord) -> bool {
        let current = self.current.as_ref().map(|current| &current.report.start);
        let known = current.or_else(|| self.announced.as_ref().map(|record| &record.start));
        let is_other = |known: &EndpointStart| {
            known.instance() != record.start.instance()
                || known.order(&record.start) != StartOrder::Same
        };
        if known.is_some_and(is_other) {
            if record.is_final {
                self.ended.insert(record.start.clone(), true);
            }
            return false;
        }
        let is_news = self.restore(now, record);
        if is_news {
            self.end_grace_time();
        }
        is_news
    }

    /// Ends the grace time of a leaving start, of whose leaving an earlier process may have been told.
    pub fn end_grace_time(&mut self) {
        if let Some(current) = &mut self.current
            && current.leaving_since.is_some()
        {
            current.was_ready = false;
        }
    }

    fn apply_announced(&mut self, now: Duration, record: &MemberRecord) {
        if let Some(left) = &record.left_before
            && self.current.is_none()
        {
            self.ended.insert(left.clone(), true);
            self.left_before = Some(left.clone());
        }
        let Some(current) = &mut self.current else {
            if record.state == MemberState::Leaving {
                self.adopt_left(now, record);
            } else {
                self.announced = Some(record.clone());
            }
            return;
        };
        match record.start.order(&current.report.start) {
            StartOrder::Same => {
                let is_later_report = record.sequence > current.report.sequence;
                if record.state == MemberState::Leaving && (record.is_final || is_later_report) {
                    let is_news = current.leaving_since.is_none();
                    current.leaving_since.get_or_insert(now);
                    current.deregistered |= record.is_final;
                    if is_news {
                        self.end_grace_time();
                    }
                }
            }
            StartOrder::Later if record.state == MemberState::Leaving => {
                self.adopt_left(now, record);
            }
            StartOrder::Later | StartOrder::Earlier | StartOrder::Unknown => {}
        }
    }

    /// Makes a start the current one that an earlier process announced as leaving, or that has
    /// deregistered since.
    fn adopt_left(&mut self, now: Duration, record: &MemberRecord) {
        let deregistered = record.is_final || record.state == MemberState::Ready;
        let report = EndpointReport {
            start: record.start.clone(),
            service: record.service.clone(),
            data_centre: record.data_centre.clone(),
            version: record.version.clone(),
            slots: record.slots,
            state: ReportState::Leaving,
            cold: Duration::ZERO,
            sequence: record.sequence,
        };
        self.adopt(now, report);
        if let Some(current) = &mut self.current {
            current.leaving_sequence = None;
            current.deregistered = deregistered;
        }
    }

    /// Returns the current start unless it has announced that it is leaving. If another start
    /// replaced it now, its end would be unannounced.
    pub fn unannounced_end(&self) -> Option<EndpointStart> {
        let current = self.current.as_ref()?;
        let staying = current.leaving_since.is_none();
        staying.then(|| current.report.start.clone())
    }

    /// Records the leaving of a start that isn't known and is earlier, by its clock, than the current
    /// one of the same identifier. Returns whether that wasn't leaving before, and `None` if `start` is
    /// no such start.
    ///
    /// Requests that expect the identifier reach whichever of the two is running.
    fn leave_misdated(&mut self, now: Duration, start: &EndpointStart) -> Option<bool> {
        let current = self.current.as_mut()?;
        let own = &current.report.start;
        let is_earlier =
            own.instance() == start.instance() && start.order(own) == StartOrder::Earlier;
        let is_misdated = is_earlier && !self.ended.contains_exactly(start);
        is_misdated.then(|| current.leave_as(now, start.clone()))
    }

    fn is_current_service(&self, service: &str) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.report.service == service)
    }

    fn is_current(&self, start: &EndpointStart) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.report.start == *start)
    }

    /// Returns the current start if it is leaving.
    fn leaving_start(&self) -> Option<EndpointStart> {
        let current = self.current.as_ref();
        let leaving = current.filter(|current| current.leaving_since.is_some());
        leaving.map(|current| current.report.start.clone())
    }

    /// Returns the start that left and was replaced by one that may be earlier, if there is one.
    pub const fn left_before(&self) -> Option<&EndpointStart> {
        self.left_before.as_ref()
    }

    /// Returns the current start of the local backend server, if one is known.
    pub const fn current(&self) -> Option<&CurrentStart> {
        self.current.as_ref()
    }

    /// Admits a request that expects `instance`, and returns the current start.
    ///
    /// A leaving start is admitted for `grace` longer, while its announcement reaches the other
    /// nodes. The grace time counts as over if this process has known the start only as leaving:
    /// an earlier process acknowledged that at an unknown time.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn admits(
        &self,
        now: Duration,
        instance: Option<&str>,
        grace: Duration,
    ) -> Result<&CurrentStart, RefusalReason> {
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

    /// Counts a leaving that was said in the response to a request sent at `said_leaving_at`, for the
    /// current start if it had begun by then.
    fn inherit_leaving(&mut self, now: Duration, said_leaving_at: Option<u64>) {
        let Some((current, sent_unix_ms)) = self.current.as_mut().zip(said_leaving_at) else {
            return;
        };
        let born_ms = current.report.start.born_ms();
        if born_ms.is_some_and(|born_ms| born_ms <= sent_unix_ms) {
            current.leaving_since.get_or_insert(now);
            current.said_leaving_at = said_leaving_at;
            // It said so before its first report.
            current.was_ready = false;
        }
    }

    fn adopt(&mut self, now: Duration, report: EndpointReport) {
        let leaving = report.state == ReportState::Leaving;
        let sequence = report.sequence;
        let next = CurrentStart {
            announced_sequence: report.sequence,
            cold: report.cold,
            cold_until: now + report.cold,
            report,
            leaving_since: leaving.then_some(now),
            was_ready: !leaving,
            leaving_sequence: leaving.then_some(sequence),
            deregistered: false,
            said_leaving_at: None,
            misdated: None,
        };
        self.announced = None;
        if let Some(ended) = self.current.replace(next) {
            let has_left = ended.has_left();
            self.ended.insert(ended.report.start, has_left);
        }
    }
}
