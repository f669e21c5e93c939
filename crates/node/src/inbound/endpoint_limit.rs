//! What the local backend server says about the rate of requests that it takes.

use std::time::Duration;

use http::HeaderMap;

use super::{InboundProxy, InboundRequest, RunSlot};
use crate::{
    member::EndpointStart,
    rate_limit::{EndpointNotice, LimitNotice},
};

/// Time between log lines about a backend server with a limit.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

impl InboundProxy {
    /// Counts a request that is passed on to the backend server.
    pub(super) fn record_sent(&self, request: &InboundRequest, slot: &RunSlot) {
        self.limit_reporter.record_sent(request.is_nested);
        let mut usage = self.limit_usage.borrow_mut();
        usage.record_sent(request.sender, request.is_nested, slot.has_waited());
    }

    /// Processes what a start of the backend server says of itself in a response.
    pub(super) fn record_notice(&self, start: &EndpointStart, headers: &HeaderMap) {
        let notice = EndpointNotice::read(headers, &self.headers);
        let limit = match notice.limit {
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Unlimited => None,
            LimitNotice::Malformed => {
                let now = self.inner.clock.now();
                self.limit_reporter.record_malformed(now, start);
                return;
            }
        };
        let before = self.limit.replace(limit);
        if before != limit {
            self.limit_reporter.record_change(start, before, limit);
        }
    }

    /// Logs what a backend server with a limit got, if a log line is due.
    pub fn report_limit_usage(&self, now: Duration) {
        let taken = self
            .limit_usage
            .borrow_mut()
            .take_after(now, USAGE_INTERVAL);
        if let (Some(limit), Some((usage, time))) = (self.limit.get(), taken) {
            self.limit_reporter.record_usage(limit, &usage, time);
        }
    }
}
