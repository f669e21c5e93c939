//! Handler of operators' requests.

use std::{rc::Rc, time::Duration};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use slog::error;

use super::{NodeStatus, ProofStatus};
use crate::{
    boot_clock::BootClock,
    freshness::KeyValidity,
    member::MemberRecord,
    node_core::NodeCore,
    response_body::{ResponseBody, json_response},
};

/// Path of the node's metrics, in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";
/// Path of the node's [`NodeStatus`], as JSON.
pub const STATUS_PATH: &str = "/status";
/// Path of the records of all known members, as JSON.
pub const MEMBERS_PATH: &str = "/members";

/// Handles requests of operators' programs for metrics, status and members.
#[derive(Debug, Clone)]
pub struct AdminHandler {
    core: Rc<NodeCore>,
}

impl AdminHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Returns the page at the path of a request, or a 404 response.
    pub fn handle(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            METRICS_PATH => self.metrics_page(),
            STATUS_PATH => self.status_page(),
            MEMBERS_PATH => self.members_page(),
            _ => text_response(StatusCode::NOT_FOUND, "text/plain", Vec::new()),
        }
    }

    fn metrics_page(&self) -> Response<ResponseBody> {
        let load = self.core.inbound.load(0);
        let metrics = &self.core.metrics;
        metrics.set_members(self.core.fleet.borrow().len());
        metrics.set_queue("running", load.running);
        metrics.set_queue("waiting", load.waiting);
        if let Some(age) = self.core.proof_age() {
            metrics.set_proof_age(age);
        }
        metrics.pace().record(self.core.inbound.reported_pace());
        match metrics.text() {
            Ok(text) => text_response(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(cause) => self.internal_error("metrics", &cause),
        }
    }

    fn status_page(&self) -> Response<ResponseBody> {
        let settings = &self.core.settings;
        let load = self.core.inbound.load(0);
        let tracker = self.core.inbound.tracker().borrow();
        let now = self.core.clock.now();
        let pace = self.core.inbound.reported_pace();
        let status = NodeStatus {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            service: settings.service.clone(),
            peer_addr: settings.peer_addr,
            version: self.core.version().0,
            members: self.core.fleet.borrow().len(),
            registrar: self.core.registrar.own_registrar(),
            registered_members: self.core.registrar.member_count(),
            store_age_ms: self.core.relay_selector.borrow().store_age(now).as_millis() as u64,
            backend: tracker
                .current()
                .map(|current| current.report.start.to_string()),
            running: load.running,
            waiting: load.waiting,
            limit_milli_per_s: load.limit.map(|limit| limit.rate.millis()),
            proof: self.proof_status(),
            pace_percent: pace.map(|(pace, _)| pace.percent()),
            pace_age_ms: pace.map(|(_, age)| age.as_millis() as u64),
            pace_used: pace.map(|_| self.core.inbound.uses_pace()),
            quotas: self
                .core
                .quota
                .as_ref()
                .filter(|quota| quota.is_in_force())
                .map(|quota| quota.status(BootClock::now())),
            ready: self.core.is_ready(),
        };
        self.json_page("status", &status)
    }

    fn proof_status(&self) -> Option<ProofStatus> {
        let validity = self.core.key_validity();
        let (age, remaining) = match validity {
            KeyValidity::Unlimited => return None,
            KeyValidity::Valid { age, remaining } => (Some(age), Some(remaining)),
            KeyValidity::Expired { age } => (age, None),
        };
        let millis = |time: Duration| time.as_millis() as u64;
        Some(ProofStatus {
            age_ms: age.map(millis),
            remaining_ms: remaining.map(millis),
        })
    }

    fn members_page(&self) -> Response<ResponseBody> {
        let fleet = self.core.fleet.borrow();
        let records: Vec<&MemberRecord> = fleet.records().collect();
        self.json_page("members", &records)
    }

    fn json_page(&self, page: &str, value: &impl Serialize) -> Response<ResponseBody> {
        json_response(value).unwrap_or_else(|cause| self.internal_error(page, &cause))
    }

    fn internal_error(&self, page: &str, cause: &dyn std::error::Error) -> Response<ResponseBody> {
        error!(self.core.log.logger(), "page failed"; "page" => page, "cause" => %cause);
        text_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new())
    }
}

fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: Vec<u8>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
