//! What the backend server beside a node says of itself.

use std::time::Duration;

use http::HeaderValue;
use slog::info;
use tokio::time::timeout;

use super::NodeCore;
use crate::{
    inbound::{EndpointReport, ReportOutcome},
    member::EndpointStart,
    node_clock::NodeClock,
};

/// Longest wait of an acknowledgment for the store.
const ACK_WAIT: Duration = Duration::from_millis(400);

impl NodeCore {
    /// Takes in a heartbeat of the backend server.
    ///
    /// Something else may post heartbeats here. Taken in, one would put an end to the
    /// start that lives, and callers would be sent to a service that isn't there. A start
    /// is adopted only for a service that the settings or the configuration in force
    /// name.
    pub fn report(&self, report: EndpointReport) -> ReportOutcome {
        if !self.names_service(&report.service) {
            return ReportOutcome::Foreign;
        }
        let now = self.clock.now();
        let (start, slots) = (report.start.clone(), report.slots);
        let (state, sequence) = (report.state, report.sequence);
        let before = self.inbound.tracker().borrow().unannounced_end();
        let outcome = self.inbound.tracker().borrow_mut().report(now, report);
        if outcome == ReportOutcome::Adopted {
            self.inbound.close_idle_connections();
            if let Some(ended) = before {
                let broken = self.inbound.broken_runs();
                broken.replaced(now, &ended, start.instance());
            }
        }
        if matches!(outcome, ReportOutcome::Adopted | ReportOutcome::Changed) {
            self.inbound.set_slots(slots);
            self.announcement_outdated.set(true);
            self.announcement_changed.notify_one();
            info!(self.log.logger(), "backend server reported";
                "instance" => %start,
                "state" => <&'static str>::from(state),
                "slots" => slots,
                "sequence" => sequence);
        }
        outcome
    }

    /// Takes in the farewell of the backend server.
    pub fn deregister(&self, start: EndpointStart) {
        let name = start.to_string();
        let here = self.inbound.tracker().borrow_mut().deregister(
            self.clock.now(),
            start,
            NodeClock::unix_ms(),
        );
        info!(self.log.logger(), "backend server said farewell";
            "instance" => name, "here" => here);
        self.announcement_outdated.set(here);
        self.announcement_changed.notify_one();
    }

    /// Waits until what changed about the backend server stands in the store, and other
    /// nodes know of a crash that showed with it, for a moment at most.
    ///
    /// If the node is killed between acknowledging a leaving and writing it, its next
    /// process knows nothing of it. The store answers in milliseconds, and whoever waits
    /// for the acknowledgment does so for a second; while the store is away it is given
    /// all the same.
    pub async fn until_announced(&self) {
        let wait = async {
            while self.announcement_outdated.get() {
                self.announced.notified().await;
            }
            self.inbound.broken_runs().until_late_told().await;
        };
        let _written = timeout(ACK_WAIT, wait).await;
    }

    fn names_service(&self, service: &str) -> bool {
        let config = self.config.borrow();
        let named = config
            .as_ref()
            .is_some_and(|config| config.health_path(service).is_some());
        named || *self.caller_service.borrow() == service
    }

    /// Returns the value by which backend servers know where a request began.
    pub fn caller_service(&self) -> HeaderValue {
        self.caller_service.borrow().clone()
    }

    /// Takes the service that runs on this machine now.
    pub fn set_caller_service(&self, service: &str) {
        *self.caller_service.borrow_mut() = service_value(service);
    }
}

pub(super) fn service_value(service: &str) -> HeaderValue {
    HeaderValue::from_str(service).unwrap_or(HeaderValue::from_static(""))
}
