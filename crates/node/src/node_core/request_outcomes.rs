//! Logs and counts the outcome of each request and of each try.

use std::time::Duration;

use http::{HeaderValue, Response};
use hyper::body::Body;
use slog::{Logger, info, o, warn};

use super::NodeCore;
use crate::{
    inbound::InboundRefusal,
    member::MemberRecord,
    node_metrics::{RequestCount, RequestResult},
    outbound::{LocalReply, OutboundRequest},
    response_body::ResponseBody,
    result_code::ResultCode,
};

impl NodeCore {
    fn count_request(
        &self,
        request: &OutboundRequest,
        code: ResultCode,
        result: RequestResult,
        took: Duration,
    ) {
        self.count_account_request(request, result.into());
        self.metrics.record_request(RequestCount {
            service: &request.service,
            kind: Some(request.route.kind),
            code,
            result,
            took,
        });
    }

    /// Records that requests of a route were found to be nested calls.
    ///
    /// These are requests that the local backend server sends through this node during its
    /// own runs.
    pub fn record_nested_calls(&self, route_hash: u64) {
        let config = self.config.borrow();
        let route = config
            .as_ref()
            .and_then(|config| config.route_by_hash(route_hash));
        info!(self.log.logger(), "nested calls of the backend server detected";
            "route" => route.map(|route| &*route.name),
            "cause" => "its runs fail when these are turned away");
    }

    /// Records a request that got a backend server's response, from the member `at` if known.
    pub fn record_served(
        &self,
        request: &OutboundRequest,
        response: &Response<ResponseBody>,
        at: Option<&MemberRecord>,
        tries: usize,
    ) {
        let bytes = response.body().size_hint().exact();
        if let Some(bytes) = bytes.filter(|_| response.status().is_success()) {
            self.response_sizes.borrow_mut().observe(
                self.clock.now(),
                request.route.route_hash,
                bytes,
            );
        }
        // The local inbound proxy records the requests that the local backend server
        // completed.
        let is_remote = at.is_some_and(|at| at.peer_addr != self.settings.peer_addr);
        if is_remote && response.status().is_success() {
            self.crashes
                .borrow_mut()
                .record_completion(request.fingerprint);
        }
        let took = request.arrived.elapsed();
        let result = match response.status() {
            status if status.is_server_error() => RequestResult::Failed,
            _ if took <= request.route.target_latency => RequestResult::Good,
            _ => RequestResult::Slow,
        };
        self.count_request(request, ResultCode::Ok, result, took);
        if result == RequestResult::Good && tries == 1 {
            return;
        }
        if let Some(log) = self.log.for_request(self.clock.now(), "answered") {
            info!(answered_log(log, request), "request answered";
                "request" => &*request.id,
                "route" => &*request.route.name,
                "status" => response.status().as_u16(),
                "at" => at.map(|at| at.peer_addr.to_string()),
                "instance" => at.map(|at| at.start.to_string()),
                "tries" => tries,
                "target_ms" => request.route.target_latency.as_millis() as u64,
                "took_ms" => took.as_millis() as u64);
        }
    }

    /// Records a request that got a reply of this node itself after `tries` tries.
    pub fn record_failed(
        &self,
        request: &OutboundRequest,
        reply: &LocalReply,
        tries: usize,
        cause: Option<&str>,
    ) {
        let took = request.arrived.elapsed();
        self.count_request(request, reply.code, RequestResult::Failed, took);
        if let Some(log) = self.log.for_request(self.clock.now(), reply.code.into()) {
            info!(account_log(log, request), "request given up";
                "request" => &*request.id,
                "route" => &*request.route.name,
                "service" => &*request.service,
                "version" => request.version.0,
                "code" => reply.code.number(),
                "reason" => <&'static str>::from(reply.code),
                "status" => reply.status.as_u16(),
                "retry_after_ms" => reply.retry_after.map(|time| time.as_millis() as u64),
                "tries" => tries,
                "cause" => cause,
                "took_ms" => took.as_millis() as u64);
        }
    }

    /// Records that a caller closed its request before the response.
    pub fn record_caller_left(&self, request: &OutboundRequest, tries: usize) {
        self.metrics.record_failed_try("caller-left");
        if let Some(log) = self.log.for_request(self.clock.now(), "caller left") {
            info!(log, "caller left";
                "request" => &*request.id,
                "route" => &*request.route.name,
                "tries" => tries,
                "took_ms" => request.arrived.elapsed().as_millis() as u64);
        }
    }

    /// Records a request that was rejected before it was sent to any member.
    ///
    /// The request has no route, a bad, late or too large body, or crashes backend servers,
    /// or the node has no configuration yet or is stopping.
    pub fn record_rejected(&self, id: Option<&HeaderValue>, reply: &LocalReply) {
        let result = if reply.status.is_client_error() {
            RequestResult::CallerFault
        } else {
            RequestResult::Failed
        };
        self.metrics.record_request(RequestCount {
            service: "",
            kind: None,
            code: reply.code,
            result,
            took: Duration::ZERO,
        });
        if let Some(log) = self.log.for_request(self.clock.now(), reply.code.into()) {
            info!(log, "request rejected";
                "request" => id.and_then(|id| id.to_str().ok()),
                "version" => self.version().0,
                "code" => reply.code.number(),
                "reason" => <&'static str>::from(reply.code),
                "status" => reply.status.as_u16());
        }
    }

    /// Records that the inbound proxy at `at` refused a try.
    pub fn record_refusal(
        &self,
        request: &OutboundRequest,
        at: &MemberRecord,
        refusal: &InboundRefusal,
    ) {
        let reason: &'static str = refusal.reason.into();
        self.metrics.record_failed_try(reason);
        if let Some(log) = self.log.for_request(self.clock.now(), "door refused") {
            info!(log, "door refused";
                "request" => &*request.id,
                "at" => %at.peer_addr,
                "instance" => %at.start,
                "reason" => reason,
                "retry_after_ms" => refusal.retry_after.as_millis() as u64);
        }
    }

    /// Records that a member's backend server said in a response that it leaves.
    pub fn record_member_leaving(&self, at: &MemberRecord) {
        info!(self.log.logger(), "backend server said that it leaves";
            "at" => %at.peer_addr,
            "instance" => %at.start);
    }

    /// Records that a node couldn't be reached, and drops the connections to it.
    pub fn record_unreachable(&self, request: &OutboundRequest, at: &MemberRecord, cause: &str) {
        self.metrics.record_failed_try("unreachable");
        self.peer_connections.close_idle(at.peer_addr);
        if let Some(log) = self.log.for_request(self.clock.now(), "unreachable") {
            warn!(log, "node unreachable";
                "request" => &*request.id,
                "at" => %at.peer_addr,
                "instance" => %at.start,
                "cause" => cause);
        }
    }

    /// Records that a member sent nothing within `silence_timeout`.
    pub fn record_silent(
        &self,
        request: &OutboundRequest,
        at: &MemberRecord,
        silence_timeout: Duration,
    ) {
        self.metrics.record_failed_try("silent");
        if let Some(log) = self.log.for_request(self.clock.now(), "silent") {
            warn!(log, "member silent";
                "request" => &*request.id,
                "at" => %at.peer_addr,
                "instance" => %at.start,
                "patience_ms" => silence_timeout.as_millis() as u64);
        }
    }

    /// Records that the connection of a try broke after the request was sent.
    pub fn record_broken_try(&self, request: &OutboundRequest, at: &MemberRecord, cause: &str) {
        self.metrics.record_failed_try("broke");
        if let Some(log) = self.log.for_request(self.clock.now(), "broke") {
            warn!(log, "try broke";
                "request" => &*request.id,
                "at" => %at.peer_addr,
                "instance" => %at.start,
                "cause" => cause);
        }
    }
}

/// Adds the account to the lines about a request that has one.
fn account_log(log: &Logger, request: &OutboundRequest) -> Logger {
    match &request.identity {
        Some(identity) => log.new(o!("account" => identity.account.name.to_string())),
        None => log.clone(),
    }
}

/// Adds the account and the configuration version to a line that doesn't name the version itself.
fn answered_log(log: &Logger, request: &OutboundRequest) -> Logger {
    match &request.identity {
        Some(_) => account_log(log, request).new(o!("version" => request.version.0)),
        None => log.clone(),
    }
}
