//! Proxy for requests of callers on this machine.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, Request, Response, request::Parts};
use hyper::body::Incoming;
use tokio::{
    select,
    time::{Instant, timeout},
};

use super::{
    LocalReply, OutboundRequest,
    caller_admission::AdmittedCaller,
    caller_input::read_caller_body,
    try_flow::TryFlow,
    try_record::{RETRY_AFTER_MIN, TryRecord, final_reply, timeout_reply},
    try_sender::path_only,
};
use crate::{
    bounded_time::BoundedTime,
    config::{MeshConfig, RouteRule},
    crash::request_fingerprint,
    header_names::{host_of, normalized_host, strip_connection_headers, strip_peer_headers},
    node_core::NodeCore,
    pipeline::RequestTarget,
    quota::admit,
    response_body::ResponseBody,
    result_code::ResultCode,
};

/// Time after the node's start within which its first configuration is expected.
const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Number of open requests above which no request waits for the first configuration.
const WAITING_REQUESTS_MAX: u32 = 128;
/// Smallest `Retry-After` before the first configuration. If no configuration arrives soon
/// after the start, the store is unavailable.
const RETRY_AFTER_NOT_READY_MIN: Duration = Duration::from_millis(500);
/// `Retry-After` while the node stops. A restarted process is ready within about a second.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(250);
/// Time before the caller's deadline at which it gets a final response. The response takes a
/// millisecond to reach the caller, and a few more on a busy machine.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// Handles the requests of callers on this machine.
#[derive(Debug, Clone)]
pub struct OutboundProxy {
    pub(super) core: Rc<NodeCore>,
}

impl OutboundProxy {
    /// Creates the proxy of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Returns whether a request may begin while earlier ones on its connection are unanswered.
    ///
    /// If the connection closed before its response, the caller would have to send it again, so
    /// it must be idempotent. Requests without a route run nothing. While the node stops, connections
    /// close with the last response to what has begun. Without a configuration the route isn't
    /// known.
    pub fn may_begin_early(&self, target: &RequestTarget) -> bool {
        if self.core.is_stopping() {
            return false;
        }
        let config = self.core.config.borrow();
        let Some(config) = &*config else {
            return false;
        };
        let host = normalized_host(target.host.as_deref(), &target.uri);
        let route = host.and_then(|host| config.route(&host, target.uri.path()));
        route.is_none_or(|route| route.kind.is_idempotent())
    }

    /// Serves a request and returns the response for the caller.
    ///
    /// The response carries the caller's request identifier.
    pub async fn handle(&self, incoming: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let id = incoming
            .headers()
            .get(&self.core.headers.request_id)
            .cloned();
        let mut response = match self.receive(incoming, arrived).await {
            Ok(request) => self.serve(&request).await,
            Err(reply) => {
                self.core.record_rejected(id.as_ref(), &reply);
                reply.into_response()
            }
        };
        if let Some(id) = id {
            let headers = response.headers_mut();
            headers.entry(&self.core.headers.request_id).or_insert(id);
        }
        response
    }

    /// Reads and routes a request; the error is the reply to a request that is rejected.
    async fn receive(
        &self,
        incoming: Request<Incoming>,
        arrived: Instant,
    ) -> Result<OutboundRequest, LocalReply> {
        let (mut head, mut body) = incoming.into_parts();
        if self.core.rejects_new_callers() && !self.continues_run(&head) {
            return Err(LocalReply::not_run(
                ResultCode::Draining,
                RETRY_AFTER_STOPPING,
            ));
        }
        let caller = self.admit_caller(&head).await?;
        let rank = caller.rank();
        let AdmittedCaller {
            config,
            route,
            identity,
        } = caller;
        let deadline = self.deadline_of(&head.headers);
        let ends_at = match deadline {
            Some(deadline) => arrived + deadline.saturating_sub(ANSWER_MARGIN).min(route.timeout),
            None => arrived + route.timeout,
        };
        let ends_at = self.core.bound_by_shutdown(ends_at);
        let admitted = async {
            let quota_pass = admit(&self.core, &head, identity.as_ref()).await?;
            let body =
                read_caller_body(&mut body, &config, &self.core.body_memory, ends_at).await?;
            Ok((quota_pass, body))
        };
        let (quota_pass, body) = self.until_final_response(ends_at, admitted).await?;
        let host = host_of(&head);
        strip_connection_headers(&mut head.headers);
        strip_peer_headers(&mut head.headers);
        self.strip_identity(&mut head.headers, &config, host.as_deref());
        head.headers.insert(
            &self.core.headers.caller_service,
            self.core.caller_service(),
        );
        let id = head.headers.get(&self.core.headers.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let fingerprint = request_fingerprint(&head.method, &head.uri, &head.headers, &body);
        self.check_fingerprint(fingerprint)?;
        let service = route.shares.draw();
        let caller_deadline = deadline.map(|deadline| arrived + deadline);
        let first_attempt_at = self.first_attempt_at(arrived, &route, fingerprint, deadline);
        let target_deadline = first_attempt_at + route.target_latency;
        let is_nested = self
            .core
            .inbound
            .nested_call_detector()
            .borrow()
            .is_nested_call(route.route_hash);
        Ok(OutboundRequest {
            id: id.into(),
            method: head.method,
            uri: path_only(&head.uri),
            headers: head.headers,
            body,
            fingerprint,
            first_attempt_at,
            caller_deadline,
            target_deadline,
            is_nested,
            identity,
            quota_pass: quota_pass.map(Rc::new),
            rank,
            route,
            service,
            version: config.version,
            arrived,
            ends_at,
        })
    }

    /// Waits for what a request needs before it is sent, until it gets its final response.
    ///
    /// A shutdown that begins meanwhile may bring that forward.
    async fn until_final_response<T>(
        &self,
        ends_at: Instant,
        admitted: impl Future<Output = Result<T, LocalReply>>,
    ) -> Result<T, LocalReply> {
        select! {
            biased;
            admitted = admitted => admitted,
            () = self.core.until_final_response(ends_at) => Err(self.unsent_reply()),
        }
    }

    /// Returns the reply to a request that wasn't sent by the time of its final response.
    fn unsent_reply(&self) -> LocalReply {
        if self.core.is_stopping() {
            LocalReply::not_run(ResultCode::Draining, RETRY_AFTER_STOPPING)
        } else {
            LocalReply::not_run(ResultCode::DeadlineBeforeRun, RETRY_AFTER_MIN)
        }
    }

    /// Returns whether a request is served although new callers are rejected, because a run that has
    /// begun would fail without it.
    fn continues_run(&self, head: &Parts) -> bool {
        if self.core.rejects_nested_calls() {
            return false;
        }
        let config = self.core.config.borrow();
        let route = host_of(head).and_then(|host| config.as_ref()?.route(&host, head.uri.path()));
        route.is_some_and(|route| self.core.inbound.is_call_of_run(route.route_hash))
    }

    /// Returns the configuration in force; waits for the first one while there is none.
    ///
    /// After a power cut, callers send their second attempt before any node has read its
    /// configuration, and most of them make no third one.
    pub(super) async fn current_config(&self) -> Result<Rc<MeshConfig>, LocalReply> {
        loop {
            let updated = self.core.update_arrived.notified();
            let config = self.core.config.borrow().clone();
            if let Some(config) = config {
                return Ok(config);
            }
            let time_left = FIRST_CONFIG_TIMEOUT.saturating_sub(self.core.clock.now());
            if time_left.is_zero() || self.core.open_requests.get() > WAITING_REQUESTS_MAX {
                let retry_after = time_left.max(RETRY_AFTER_NOT_READY_MIN);
                return Err(LocalReply::not_run(ResultCode::NotReady, retry_after));
            }
            let _timed_out = timeout(time_left, updated).await;
        }
    }

    /// Refuses a request whose fingerprint has crashed backend servers.
    fn check_fingerprint(&self, fingerprint: u64) -> Result<(), LocalReply> {
        let now = self.core.clock.now();
        let retry_after = self.core.crashes.borrow().refusal(now, fingerprint);
        retry_after.map_or(Ok(()), |retry_after| {
            Err(LocalReply::not_run(ResultCode::Poisoned, retry_after))
        })
    }

    /// Returns the time of the caller's first attempt, as far as it is known.
    ///
    /// The time is taken from an earlier failed attempt of the request here or, without
    /// one, estimated from the remaining time in the request.
    fn first_attempt_at(
        &self,
        arrived: Instant,
        route: &RouteRule,
        fingerprint: u64,
        deadline: Option<Duration>,
    ) -> Instant {
        let Some(deadline) = deadline else {
            return arrived;
        };
        let clock = self.core.clock;
        let resends = self.core.resends.borrow();
        if let Some(first) =
            resends.first_attempt_at(fingerprint, clock.time_of(arrived + deadline))
        {
            return clock.instant_of(first);
        }
        let mut deadlines = self.core.deadlines.borrow_mut();
        let time_since_first_attempt =
            deadlines.time_since_first_attempt(route.route_hash, deadline);
        arrived
            .checked_sub(time_since_first_attempt)
            .unwrap_or(arrived)
    }

    /// Remembers a request that got no response of a backend server. Its caller may send
    /// the request again.
    fn record_failed_attempt(&self, request: &OutboundRequest) {
        let Some(caller_deadline) = request.caller_deadline else {
            return;
        };
        let clock = self.core.clock;
        let (first_attempt_at, caller_deadline) = (
            clock.time_of(request.first_attempt_at),
            clock.time_of(caller_deadline),
        );
        let mut resends = self.core.resends.borrow_mut();
        resends.record_failed_attempt(request.fingerprint, first_attempt_at, caller_deadline);
    }

    async fn serve(&self, request: &OutboundRequest) -> Response<ResponseBody> {
        if let Some(pass) = &request.quota_pass {
            pass.spend();
        }
        let now = self.core.clock.now();
        self.core
            .retries
            .borrow_mut()
            .record_request(now, &request.service);
        let mut tries = TryRecord::new(&self.core, request);
        let flow = TryFlow::new(&self.core, request);
        let served = select! {
            biased;
            served = flow.run(&mut tries) => Some(served),
            () = self.core.until_final_response(request.ends_at) => None,
        };
        tries.settled = true;
        let result = match served {
            Some(Some(response)) => Ok(response),
            // A backend server's response goes to the caller even if it is a failure.
            Some(None) => tries
                .fallback_response
                .take()
                .ok_or_else(|| final_reply(&tries)),
            None => tries
                .fallback_response
                .take()
                .ok_or_else(|| timeout_reply(&tries)),
        };
        match result {
            Ok(response) => {
                let count = tries.count();
                self.core
                    .record_served(request, &response, tries.last_member.as_ref(), count);
                *response
            }
            Err(reply) => {
                if let Some(pass) = request
                    .quota_pass
                    .as_deref()
                    .filter(|_| reply.guarantees_not_run())
                {
                    pass.put_back();
                }
                let now = self.core.clock.now();
                let mut nested_call_detector =
                    self.core.inbound.nested_call_detector().borrow_mut();
                let newly_detected =
                    nested_call_detector.record_failed_request(now, request.route.route_hash);
                drop(nested_call_detector);
                if let Some(route_hash) = newly_detected {
                    self.core.record_nested_calls(route_hash);
                }
                self.record_failed_attempt(request);
                let cause = tries.failure_cause.as_deref();
                self.core
                    .record_failed(request, &reply, tries.count(), cause);
                reply.into_response()
            }
        }
    }

    fn deadline_of(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = headers.get(&self.core.headers.deadline_ms)?;
        let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
        BoundedTime::try_from(millis / 1_000.0)
            .ok()
            .map(Duration::from)
    }
}
