//! Sends a request to one member.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use super::{
    InFlightGuard, OutboundRequest, RETRY_AFTER_KEY_UNPROVEN, StandstillBound,
    body_start::BodyStart,
};
use crate::{
    accounts::AccountHeader,
    boot_clock::BootClock,
    config::ConfigVersion,
    crash::BreakDiagnosis,
    header_names::{
        PEER_ACCOUNT_HEADER, PEER_COMPLETIONS_HEADER, PEER_DIAGNOSIS_HEADER, PEER_FAILURE_HEADER,
        PEER_LOAD_HEADER, PEER_REFUSAL_HEADER, PEER_REQUEST_HEADER, PEER_VERSION_HEADER,
        head_bytes, header_text, parse_header, set_header, strip_connection_headers,
        strip_peer_headers,
    },
    inbound::{InboundError, InboundRefusal, InboundRequest, RefusalReason},
    link::LinkTraffic,
    member::{LoadReport, MemberKey, MemberRecord},
    node_core::NodeCore,
    rate_limit::EndpointNotice,
    request_body::BodyStream,
    response_body::{ResponseBody, is_short},
    result_code::ResultCode,
    shutdown::TransferProgress,
    transport::{ExchangeError, PeerRequestHeader},
};

/// Bytes of a body after which a stopping node stops reading and passes on its head. The few requests
/// that it has left may all have a longer one.
const WHOLE_RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Why a try ended without a response of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TryFailure {
    /// The member refused the request, which certainly didn't run there.
    Refused(InboundRefusal),
    /// The member's node couldn't be reached, and nothing was sent. The text is the reason.
    Unreachable(String),
    /// The request may have run, but there is no usable response.
    ResponseLost {
        /// Reason, for the log.
        reason: String,
        /// Diagnosis of the backend server if the connection to it broke.
        diagnosis: Option<BreakDiagnosis>,
    },
}

/// Result of a try: the backend server's response, which may be a failure, or why there is
/// none.
pub type TryResult = Result<Box<Response<ResponseBody>>, TryFailure>;

/// Sends a request to the node's own inbound proxy or to that of another node.
#[derive(Debug, Clone, Copy)]
pub struct TrySender<'a> {
    /// State of the node that sends the request.
    pub core: &'a Rc<NodeCore>,
    /// Request to send.
    pub request: &'a OutboundRequest,
    /// Whether the request may wait in the member's queue; otherwise it probes for a free
    /// slot.
    pub may_wait: bool,
    /// Whether there is no other member that the request could be sent to.
    pub is_only_member: bool,
}

impl TrySender<'_> {
    /// Sends the request to the inbound proxy of `key`.
    ///
    /// # Errors
    ///
    /// Returns why the try ended without a response of the backend server.
    pub async fn send(self, key: MemberKey, record: &MemberRecord) -> TryResult {
        // The key may have been revoked while the member was asked for admission.
        if let Err(reply) = self.core.recheck_identity(self.request) {
            let reason = if reply.code == ResultCode::Unauthorized {
                RefusalReason::KeyUnknown
            } else {
                RefusalReason::KeyUnproven
            };
            return Err(TryFailure::Refused(InboundRefusal {
                reason,
                retry_after: RETRY_AFTER_KEY_UNPROVEN,
            }));
        }
        let guard = InFlightGuard::new(self.core, key, record.peer_addr);
        if record.peer_addr == self.core.settings.peer_addr {
            self.send_local(guard, record).await
        } else {
            self.send_to_peer(guard, key, record).await
        }
    }

    async fn send_local(self, guard: InFlightGuard, record: &MemberRecord) -> TryResult {
        let request = self.request;
        let identity = self.core.valid_identity(request);
        let valid_until = match identity.map(|_| self.core.check_key_validity()) {
            None | Some(Ok(None)) => None,
            Some(Ok(Some(remaining))) => Some(BootClock::now() + remaining),
            Some(Err(_)) => Some(Duration::ZERO),
        };
        let inbound_request = InboundRequest {
            sender: None,
            method: request.method.clone(),
            uri: request.uri.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            account: identity.map(|identity| Rc::clone(&identity.account)),
            valid_until,
            rank: request.rank,
            route_hash: request.route.route_hash,
            is_nested: request.is_nested,
            may_wait: self.may_wait,
            is_only_member: self.is_only_member,
            arrived: Instant::now(),
            target_deadline: request.target_deadline,
            ends_at: self.core.bound_by_shutdown(request.ends_at),
            instance: Some(record.start.instance().to_owned()),
            limit_hint: None,
            completions: None,
            fingerprint: request.fingerprint,
        };
        let idempotent = request.route.kind.is_idempotent();
        let result = self.core.inbound.run(inbound_request, idempotent).await;
        let route_hash = request.route.route_hash;
        let load = self.core.inbound.load(route_hash);
        self.core.record_load(guard.key(), route_hash, load);
        if let Ok(response) = &result {
            self.record_leaving(record, response.headers());
        }
        match result {
            Ok(response) => Ok(Box::new(
                response.map(|body| body.with_in_flight_guard(guard)),
            )),
            Err(InboundError::Refused { refusal }) => Err(TryFailure::Refused(refusal)),
            Err(InboundError::ResponseLost { reason, diagnosis }) => {
                Err(TryFailure::ResponseLost { reason, diagnosis })
            }
        }
    }

    async fn send_to_peer(
        self,
        mut guard: InFlightGuard,
        key: MemberKey,
        record: &MemberRecord,
    ) -> TryResult {
        let peer_request = self.peer_request(record);
        let bytes = head_bytes(peer_request.headers()) + self.request.body.len();
        let link = &self.core.link;
        link.record_sent(self.core.clock.now(), LinkTraffic::Request, bytes);
        let idle_timeout = self.core.settings.peer_idle_timeout;
        let exchange = self
            .core
            .peer_connections
            .exchange(record.peer_addr, peer_request, idle_timeout)
            .await;
        let (response, sender) = match exchange {
            Ok(exchanged) => exchanged,
            Err(ExchangeError::NotSent { reason } | ExchangeError::Refused { reason }) => {
                return Err(TryFailure::Unreachable(reason));
            }
            Err(ExchangeError::ResponseLost { reason }) => return Err(undiagnosed(reason)),
        };
        // Nodes of earlier versions pass on a switch of protocols.
        if response.status().is_informational() {
            return Err(undiagnosed("the status isn't final".to_owned()));
        }
        guard.hold_connection(sender);
        self.record_peer_headers(key, record, response.headers());
        self.record_leaving(record, response.headers());
        let refusal = parse_header::<InboundRefusal>(response.headers(), &PEER_REFUSAL_HEADER);
        let failure = header_text(response.headers(), &PEER_FAILURE_HEADER).map(ToOwned::to_owned);
        let diagnosis = header_text(response.headers(), &PEER_DIAGNOSIS_HEADER);
        let diagnosis = diagnosis.and_then(|text| serde_json::from_str(text).ok());
        let (mut head, body) = response.into_parts();
        strip_connection_headers(&mut head.headers);
        strip_peer_headers(&mut head.headers);
        if !is_short(&body) {
            let body = self.long_body(key, body, guard).await;
            let bound = StandstillBound::start(self.core, record.peer_addr, self.request.ends_at);
            let body = body.map_err(undiagnosed)?.with_standstill_bound(bound);
            return Ok(Box::new(Response::from_parts(head, body)));
        }
        let whole = match whole(body, guard).await {
            Ok(whole) => whole,
            Err(reason) => return Err(undiagnosed(reason)),
        };
        match (refusal, failure) {
            (Some(refusal), _) => Err(TryFailure::Refused(refusal)),
            (None, Some(reason)) => Err(TryFailure::ResponseLost { reason, diagnosis }),
            (None, None) => {
                let response = Response::from_parts(head, ResponseBody::whole(whole));
                Ok(Box::new(response))
            }
        }
    }

    /// Returns the body of a long response, whose head can then be passed on.
    ///
    /// A stopping node reads it first: the caller of a response that doesn't arrive before the node
    /// closes gets a complete final response instead of one that is cut. Of a body that is too long
    /// for that, the first part shows whether the rest can arrive.
    async fn long_body(
        self,
        key: MemberKey,
        body: Incoming,
        guard: InFlightGuard,
    ) -> Result<ResponseBody, String> {
        let Some(schedule) = self.core.shutdown_schedule() else {
            return Ok(ResponseBody::stream(body).with_in_flight_guard(guard));
        };
        let began = self.core.clock.now();
        // The body may take longer than the silence timeout.
        self.core
            .fleet
            .borrow_mut()
            .record_response_head(began, key);
        let body_start = BodyStart::read(body, WHOLE_RESPONSE_MAX_BYTES).await;
        match body_start.map_err(|error| error.to_string())? {
            BodyStart::Whole(bytes) => {
                guard.complete();
                Ok(ResponseBody::whole(bytes))
            }
            BodyStart::Partial { bytes, rest } => {
                let now = self.core.clock.now();
                let transfer_progress = TransferProgress {
                    received_bytes: bytes.len() as u64,
                    elapsed: now.saturating_sub(began),
                    missing_bytes: rest.size_hint().lower(),
                };
                let remaining = schedule.final_responses_at().saturating_sub(now);
                if !transfer_progress.ends_within(remaining) {
                    return Err("the response can't arrive before the node closes".to_owned());
                }
                Ok(ResponseBody::stream_after(bytes, rest).with_in_flight_guard(guard))
            }
        }
    }

    fn peer_request(self, record: &MemberRecord) -> Request<BodyStream> {
        let request = self.request;
        let header_names = &self.core.headers;
        let now = Instant::now();
        let peer_header = self.peer_header(now, record);
        let ends_at = self.core.bound_peer_response(request.ends_at);
        let remaining = ends_at.saturating_duration_since(now);
        let mut headers = request.headers.clone();
        headers.insert(
            &header_names.deadline_ms,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        set_header(
            &mut headers,
            &header_names.expected_instance,
            record.start.instance(),
        );
        set_header(&mut headers, &PEER_REQUEST_HEADER, &peer_header.to_string());
        if let Some(identity) = self.core.valid_identity(request) {
            let header = AccountHeader {
                proof: identity.proof,
                remaining: self
                    .core
                    .check_key_validity()
                    .unwrap_or(Some(Duration::ZERO)),
            };
            headers.insert(PEER_ACCOUNT_HEADER, header.value());
        }
        if let Some(evidence) = self.core.crashes.borrow().evidence(request.fingerprint) {
            set_header(
                &mut headers,
                &PEER_COMPLETIONS_HEADER,
                &evidence.to_string(),
            );
        }
        let mut peer_request = Request::new(request.body.stream());
        *peer_request.method_mut() = request.method.clone();
        *peer_request.uri_mut() = path_only(&request.uri);
        *peer_request.headers_mut() = headers;
        peer_request
    }

    /// Returns the header with the routing data of the request.
    pub(super) fn peer_header(self, now: Instant, record: &MemberRecord) -> PeerRequestHeader {
        let request = self.request;
        let fleet = self.core.fleet.borrow();
        let limit = fleet
            .member_at(record.peer_addr)
            .and_then(|member| member.known_limit(&record.start));
        PeerRequestHeader {
            rank: request.rank,
            route_hash: request.route.route_hash,
            is_nested: request.is_nested,
            idempotent: request.route.kind.is_idempotent(),
            may_wait: self.may_wait,
            is_only_member: self.is_only_member,
            target_remaining: request.target_deadline.saturating_duration_since(now),
            version: self.core.version(),
            from: self.core.settings.peer_addr,
            limit,
        }
    }

    /// Records that a backend server says in its response that it leaves.
    ///
    /// This node itself must not send it new requests then: the node beside it may be restarted, cut
    /// off or unable to announce the leaving.
    fn record_leaving(self, record: &MemberRecord, headers: &HeaderMap) {
        if !EndpointNotice::read(headers, &self.core.headers).is_leaving {
            return;
        }
        let is_new = {
            let now = self.core.clock.now();
            self.core
                .fleet
                .borrow_mut()
                .record_leaving(now, &record.start)
        };
        if is_new {
            self.core.record_member_leaving(record);
        }
    }

    /// Records the load and the configuration version that the other node reports.
    pub(super) fn record_peer_headers(
        self,
        key: MemberKey,
        record: &MemberRecord,
        headers: &HeaderMap,
    ) {
        if let Some(load) = parse_header::<LoadReport>(headers, &PEER_LOAD_HEADER) {
            self.core
                .record_load(key, self.request.route.route_hash, load);
        }
        if let Some(version) =
            header_text(headers, &PEER_VERSION_HEADER).and_then(|text| text.parse().ok())
        {
            self.core
                .record_peer_version(ConfigVersion(version), record.peer_addr);
        }
    }
}

/// Returns only the path and query, as in a request line; `/` if there are none.
pub(super) fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Returns the failure for a broken connection to the other node.
///
/// The failure has no diagnosis, since it says nothing about the backend server.
const fn undiagnosed(reason: String) -> TryFailure {
    let diagnosis = None;
    TryFailure::ResponseLost { reason, diagnosis }
}

async fn whole(body: Incoming, guard: InFlightGuard) -> Result<Bytes, String> {
    match body.collect().await {
        Ok(whole) => {
            guard.complete();
            Ok(whole.to_bytes())
        }
        Err(error) => Err(error.to_string()),
    }
}
