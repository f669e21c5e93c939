//! Handling of reports from the local backend server: heartbeats and deregistration.

use std::time::Duration;

use http::HeaderValue;
use slog::info;
use tokio::time::timeout;

use super::NodeCore;
use crate::{
    inbound::{EndpointReport, ReportOutcome, ReportState},
    member::{EndpointStart, MemberRecord},
    node_clock::NodeClock,
};

/// Longest time that the acknowledgment of a ready backend server's report waits for the store.
const ACK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that the acknowledgment of a leaving waits for the store. The backend server takes
/// an acknowledgment for a second.
const LEAVING_ACK_TIMEOUT: Duration = Duration::from_millis(800);

impl NodeCore {
    /// Handles a heartbeat of the backend server and returns its effect.
    ///
    /// A heartbeat is accepted only for a service named in the settings or the configuration
    /// in force. Another process may post heartbeats to this address. If such a heartbeat were
    /// accepted, it would replace the running start of the backend server, and callers would
    /// be sent to a service that doesn't run here.
    pub fn report(&self, report: EndpointReport) -> ReportOutcome {
        if !self.is_known_service(&report.service) {
            return ReportOutcome::Foreign;
        }
        let now = self.clock.now();
        let (start, slots) = (report.start.clone(), report.slots);
        let (state, sequence) = (report.state, report.sequence);
        let previous = self.inbound.tracker().borrow().unannounced_end();
        let outcome = self.inbound.tracker().borrow_mut().report(now, report);
        if outcome == ReportOutcome::Adopted {
            self.inbound.close_idle_connections();
            self.inbound.forget_limit(&start);
            self.inbound.forget_server_load();
            if let Some(ended) = previous {
                let broken = self.inbound.broken_runs();
                broken.record_replacement(now, &ended, start.instance());
            }
        }
        if matches!(outcome, ReportOutcome::Adopted | ReportOutcome::Changed) {
            self.inbound.set_slots(slots);
            self.update_suspension();
            self.announcement_outdated.set(true);
            self.announcement_changed.notify_one();
            info!(self.log.logger(), "backend server reported";
                "instance" => %start,
                "state" => <&'static str>::from(state),
                "slots" => slots,
                "sequence" => sequence);
        }
        if outcome == ReportOutcome::Stale {
            info!(self.log.logger(), "backend server report ignored";
                "instance" => %start,
                "state" => <&'static str>::from(state),
                "sequence" => sequence);
        }
        outcome
    }

    /// Handles the deregistration of a start of the backend server.
    ///
    /// A start that is neither announced nor reported may have been both in an earlier process of
    /// this node. It is announced as left, once the announcements have been read.
    pub fn deregister(&self, start: &EndpointStart) {
        let now = self.clock.now();
        let unix_ms = NodeClock::unix_ms();
        let mut tracker = self.inbound.tracker().borrow_mut();
        let is_current = tracker.deregister(now, start.clone(), unix_ms);
        let is_adopted = !is_current
            && self.knows_local_members()
            && tracker.adopt_unreported(now, self.unreported_leaving(start.clone(), unix_ms));
        drop(tracker);
        info!(self.log.logger(), "backend server deregistered";
            "instance" => %start, "here" => is_current);
        if is_current || is_adopted {
            self.announcement_outdated.set(true);
        }
        self.announcement_changed.notify_one();
    }

    /// Records leavings that another node knows of, among them those of this node's earlier processes.
    pub fn record_left(&self, records: &[MemberRecord]) {
        let now = self.clock.now();
        self.fleet.borrow_mut().record_left(now, records);
        for record in records {
            if record.peer_addr != self.settings.peer_addr {
                continue;
            }
            let is_news = self.inbound.tracker().borrow_mut().learn_left(now, record);
            if is_news {
                info!(self.log.logger(), "leaving learned from another node";
                    "instance" => %record.start, "final" => record.is_final);
                self.announcement_changed.notify_one();
            }
        }
    }

    /// Returns a report of leaving for a start of which only the deregistration is known.
    fn unreported_leaving(&self, start: EndpointStart, unix_ms: u64) -> EndpointReport {
        EndpointReport {
            start: start.with_default_born_ms(unix_ms),
            service: self.settings.service.clone(),
            data_centre: self.settings.data_centre.clone(),
            version: None,
            slots: 1,
            state: ReportState::Leaving,
            cold: Duration::ZERO,
            sequence: 0,
        }
    }

    /// Waits until a change of the backend server is written to the store.
    ///
    /// If the change revealed a crash, the wait includes reporting it to other nodes. It ends after
    /// `ACK_TIMEOUT`, so a report of a ready backend server is also acknowledged while the store is
    /// unavailable.
    pub async fn until_announced(&self) {
        let wait = async {
            while self.announcement_outdated.get() {
                self.announcement_written.notified().await;
            }
            self.inbound.broken_runs().until_peers_notified().await;
        };
        let _written = timeout(ACK_TIMEOUT, wait).await;
    }

    /// Waits until the store holds the leaving of `start`, and returns whether it does.
    ///
    /// The acknowledgment of a leaving binds the next process of this node as well, which knows
    /// only what the store holds. The wait ends after `LEAVING_ACK_TIMEOUT`; without an
    /// acknowledgment the backend server says again that it leaves.
    pub async fn until_leaving_stored(&self, start: &EndpointStart) -> bool {
        let wait = async {
            while !self.is_leaving_stored(start) {
                self.announcement_written.notified().await;
            }
            self.inbound.broken_runs().until_peers_notified().await;
        };
        let _stored = timeout(LEAVING_ACK_TIMEOUT, wait).await;
        let is_stored = self.is_leaving_stored(start);
        if is_stored {
            info!(self.log.logger(), "leaving acknowledged"; "instance" => %start);
        }
        is_stored
    }

    /// Returns whether the next process of this node would learn that `start` leaves.
    fn is_leaving_stored(&self, start: &EndpointStart) -> bool {
        let tracker = self.inbound.tracker().borrow();
        let Some(current) = tracker.current() else {
            return false;
        };
        if !current.stands_for(start) {
            // Requests for another start than the current one aren't admitted.
            return true;
        }
        current.leaving_since.is_some()
            && self.knows_local_members()
            && !self.announcement_outdated.get()
    }

    fn is_known_service(&self, service: &str) -> bool {
        let config = self.config.borrow();
        let configured = config
            .as_ref()
            .is_some_and(|config| config.health_path(service).is_some());
        configured || *self.caller_service.borrow() == service
    }

    /// Returns the header value that tells backend servers which service sent a request.
    pub fn caller_service(&self) -> HeaderValue {
        self.caller_service.borrow().clone()
    }

    /// Sets the service that is named to backend servers as the sender of requests.
    pub fn set_caller_service(&self, service: &str) {
        *self.caller_service.borrow_mut() = service_value(service);
    }
}

/// Returns a service name as a header value; empty if a header can't hold the name.
pub(super) fn service_value(service: &str) -> HeaderValue {
    HeaderValue::from_str(service).unwrap_or(HeaderValue::from_static(""))
}
