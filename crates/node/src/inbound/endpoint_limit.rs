//! The rate of requests that the local backend server takes.

use std::time::Duration;

use http::HeaderMap;

use super::{InboundProxy, InboundRequest, RunSlot};
use crate::{
    member::{EndpointStart, StartOrder},
    node_clock::NodeClock,
    rate_limit::{EndpointNotice, ExchangeTimes, LimitLoad, LimitNotice, RequestRate},
};

/// Time between log lines about a backend server with a limit.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

impl InboundProxy {
    /// Returns the rate that the backend server takes; none if it names no limit.
    pub fn rate_limit(&self) -> Option<RequestRate> {
        self.limit.borrow().limit()
    }

    /// Returns the room that the backend server's limit leaves; none if it names no limit.
    pub(super) fn limit_load(&self) -> Option<LimitLoad> {
        let rate = self.rate_limit()?;
        let queue = self.inner.queue.borrow();
        let wait = queue.limit_wait(self.inner.clock.now(), queue.waiting());
        Some(LimitLoad { rate, wait })
    }

    /// Counts a request that is passed on to the backend server.
    pub(super) fn record_sent(&self, request: &InboundRequest, slot: &RunSlot) {
        self.notice_reporter.record_sent(request.is_nested);
        let mut usage = self.limit_usage.borrow_mut();
        usage.record_sent(request.sender, request.is_nested, slot.has_waited());
    }

    /// Processes what a start of the backend server says of itself in a response.
    ///
    /// A response of a start that isn't the current one any more is ignored, unless it says that the
    /// backend server leaves.
    pub(super) fn record_notice(
        &self,
        start: &EndpointStart,
        headers: &HeaderMap,
        times: ExchangeTimes,
    ) {
        let notice = EndpointNotice::read(headers, &self.headers);
        if notice.is_leaving {
            self.record_leaving(times, start);
        }
        if !self.is_current(start) {
            return;
        }
        if notice.limit == LimitNotice::Malformed {
            self.notice_reporter
                .record_malformed(times.received_at, start);
        }
        let before = self.rate_limit();
        let after = self.limit.borrow_mut().observe(times, notice.limit);
        self.apply_limit(start, before, after);
    }

    pub(super) fn is_current(&self, start: &EndpointStart) -> bool {
        let current = self.current_start();
        current.is_some_and(|current| current.order(start) == StartOrder::Same)
    }

    /// Records that the backend server leaves, and has that announced.
    fn record_leaving(&self, times: ExchangeTimes, start: &EndpointStart) {
        let now = times.received_at;
        let took = now.saturating_sub(times.sent_at);
        let sent_unix_ms = NodeClock::unix_ms().saturating_sub(took.as_millis() as u64);
        let mut tracker = self.tracker.borrow_mut();
        let is_new = tracker.record_leaving(now, start, sent_unix_ms);
        drop(tracker);
        if is_new {
            self.notice_reporter.record_leaving(start);
            self.announcement_changed.notify_one();
        }
    }

    /// Adopts the limit that another node knows, if this process hasn't heard from the backend
    /// server yet.
    ///
    /// When a node restarts, its backend server keeps running and may still need the limit.
    pub(super) fn adopt_limit_hint(&self, start: &EndpointStart, hint: Option<RequestRate>) {
        let Some(rate) = hint else {
            return;
        };
        if self.limit.borrow_mut().adopt_hint(rate) {
            self.apply_limit(start, None, Some(rate));
        }
    }

    /// Lifts the limit of the start before `next`, which hasn't named one.
    pub fn forget_limit(&self, next: &EndpointStart) {
        let before = self.limit.take().limit();
        self.apply_limit(next, before, None);
    }

    fn apply_limit(
        &self,
        start: &EndpointStart,
        before: Option<RequestRate>,
        after: Option<RequestRate>,
    ) {
        if before == after {
            return;
        }
        self.notice_reporter.record_change(start, before, after);
        let now = self.inner.clock.now();
        let granted = self.inner.queue.borrow_mut().set_limit(now, after);
        self.inner.wake(granted);
    }

    /// Logs what a backend server with a limit got, if a log line is due.
    pub fn report_limit_usage(&self, now: Duration) {
        let taken = self
            .limit_usage
            .borrow_mut()
            .take_after(now, USAGE_INTERVAL);
        if let (Some(limit), Some((usage, time))) = (self.rate_limit(), taken) {
            self.notice_reporter.record_usage(limit, &usage, time);
        }
    }
}
