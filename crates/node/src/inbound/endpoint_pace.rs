//! The load and pace that the local backend server reports.

use std::time::Duration;

use http::HeaderMap;

use super::{InboundProxy, RunSlot};
use crate::{
    member::{EndpointStart, StartOrder},
    pace::{LoadNotice, PaceRatio, ServerLoad},
};

impl InboundProxy {
    /// Processes the load that a start of the backend server reports with the response in `slot`.
    pub(super) fn record_server_load(
        &self,
        start: &EndpointStart,
        headers: &HeaderMap,
        slot: &mut RunSlot,
    ) {
        let load = self.read_server_load(start, headers);
        if let Some(load) = load {
            slot.set_pace(load.pace());
            self.apply_server_load(start, &load, slot.running_at_start());
        }
    }

    /// Processes the load that the backend server reports with a health check's response.
    pub(super) fn record_checked_load(&self, instance: Option<&str>, headers: &HeaderMap) {
        let start = self.current_start();
        let start = start.filter(|start| instance == Some(start.instance()));
        let Some(start) = start else {
            return;
        };
        if let Some(load) = self.read_server_load(&start, headers) {
            self.apply_server_load(&start, &load, 0);
        }
    }

    /// Forgets the load that an earlier start of the backend server reported.
    pub fn forget_server_load(&self) {
        self.inner.queue.borrow_mut().forget_server_load();
        self.pace_watch.take();
        self.malformed_load_of.take();
    }

    /// Returns the pace that the backend server reported last, and its age; none if it reported none.
    pub fn reported_pace(&self) -> Option<(PaceRatio, Duration)> {
        let now = self.inner.clock.now();
        self.inner.queue.borrow().reported_pace(now)
    }

    /// Whether the reported pace is used, because it helps to predict run times.
    pub fn uses_pace(&self) -> bool {
        let now = self.inner.clock.now();
        self.inner.queue.borrow().pace(now).is_some()
    }

    /// Reads the load in a response of the current start. A malformed one is logged once a start.
    fn read_server_load(&self, start: &EndpointStart, headers: &HeaderMap) -> Option<ServerLoad> {
        match LoadNotice::read(headers, &self.headers) {
            LoadNotice::Absent => None,
            LoadNotice::Reported(load) => self.is_current(start).then_some(load),
            LoadNotice::Malformed => {
                let logged = self.malformed_load_of.replace(Some(start.clone()));
                let is_known = logged.is_some_and(|logged| logged.order(start) == StartOrder::Same);
                if !is_known {
                    self.pace_reporter.record_malformed(start);
                }
                None
            }
        }
    }

    fn apply_server_load(&self, start: &EndpointStart, load: &ServerLoad, own_requests: u32) {
        let now = self.inner.clock.now();
        let mut queue = self.inner.queue.borrow_mut();
        queue.record_server_load(now, load, own_requests);
        drop(queue);
        self.inner.refuse_displaced();
        let Some(pace) = load.pace() else {
            return;
        };
        if let Some(change) = self.pace_watch.borrow_mut().observe(now, pace) {
            self.pace_reporter.record_change(start, change, pace);
        }
    }
}
