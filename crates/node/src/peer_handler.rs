//! Handler of other nodes' requests.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::{
    task::spawn_local,
    time::{Instant, timeout},
};

use crate::{
    crash::{BreakDiagnosis, CRASH_PATH, CrashHandler, request_fingerprint},
    delegation::{DELEGATED_CALL_PATH, DelegatedCallHandler},
    discovery::{LEAVING_PATH, LeavingHandler, UPDATE_PATH, UpdateHandler},
    header_names::{
        PEER_ADMISSION_HEADER, PEER_COMPLETIONS_HEADER, PEER_DIAGNOSIS_HEADER, PEER_FAILURE_HEADER,
        PEER_LOAD_HEADER, PEER_REFUSAL_HEADER, PEER_REQUEST_HEADER, PEER_VERSION_HEADER,
        header_text, parse_header, set_header, strip_connection_headers,
    },
    inbound::{AdmissionRequest, InboundError, InboundRefusal, InboundRequest, RefusalReason},
    node_core::{NodeCore, PeerCaller},
    outbound::{ADMISSION_PATH, RETRY_AFTER_MEMORY_FULL},
    quota::{QUOTA_PATH, QuotaHandler},
    registration::{REGISTRATION_PATH, RegistrationHandler},
    request_body::{BodyReadError, RequestBody, read_body},
    request_origin::RequestOrigin,
    response_body::{ResponseBody, empty_response},
    rollout::{ROLLOUT_PATH, RolloutHandler},
    shutdown::{STOP_NOTICE_PATH, StopNoticeHandler},
    transport::PeerRequestHeader,
};

/// Longest time for the body of another node's request to arrive. The sender has
/// received the whole body before it sends the request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Refusal of a request whose body finds no memory. Nodes of earlier versions know the reason, too.
const MEMORY_FULL: InboundRefusal = InboundRefusal {
    reason: RefusalReason::Full,
    retry_after: RETRY_AFTER_MEMORY_FULL,
};

/// Handles the requests that other nodes send to this one.
#[derive(Debug, Clone)]
pub struct PeerHandler {
    core: Rc<NodeCore>,
}

impl PeerHandler {
    /// Creates the handler of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Returns the response to a request, with this node's configuration version.
    pub async fn handle(&self, incoming: Request<Incoming>) -> Response<ResponseBody> {
        // A caller chooses the path of its request, which must not be taken for a call of the node
        // that forwards it.
        let is_forwarded = incoming.headers().contains_key(PEER_REQUEST_HEADER);
        let mut response = if is_forwarded {
            self.run(incoming).await
        } else if incoming.uri().path() == UPDATE_PATH {
            let handler = UpdateHandler::new(Rc::clone(&self.core));
            handler.handle(incoming.uri()).await
        } else if incoming.uri().path() == LEAVING_PATH {
            LeavingHandler::new(Rc::clone(&self.core)).handle()
        } else if incoming.uri().path() == DELEGATED_CALL_PATH {
            let handler = DelegatedCallHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else if incoming.uri().path() == REGISTRATION_PATH {
            let handler = RegistrationHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else if incoming.uri().path() == CRASH_PATH {
            let handler = CrashHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else if incoming.uri().path() == STOP_NOTICE_PATH {
            let handler = StopNoticeHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else if incoming.uri().path() == ADMISSION_PATH {
            self.preview(&incoming)
        } else if incoming.uri().path() == ROLLOUT_PATH {
            let handler = RolloutHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else if incoming.uri().path() == QUOTA_PATH && self.core.quota.is_some() {
            let handler = QuotaHandler::new(Rc::clone(&self.core));
            handler.handle(incoming).await
        } else {
            self.run(incoming).await
        };
        let headers = response.headers_mut();
        headers.insert(
            PEER_VERSION_HEADER,
            HeaderValue::from(self.core.version().0),
        );
        response
    }

    async fn run(&self, incoming: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = incoming.into_parts();
        let peer_header = header_text(&head.headers, &PEER_REQUEST_HEADER)
            .and_then(|text| text.parse::<PeerRequestHeader>().ok());
        let Some(peer_header) = peer_header else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if self.core.inbound.refuses_peers() {
            let refusal = InboundRefusal {
                reason: RefusalReason::Stopping,
                retry_after: Duration::ZERO,
            };
            return refuse_unread(body, &refusal);
        }
        self.core
            .record_peer_version(peer_header.version, peer_header.from);
        let now = Instant::now();
        let caller = match self.core.identify_peer_caller(&head, &peer_header).await {
            Ok(caller) => caller,
            Err(refusal) => return refuse_unread(body, &refusal),
        };
        let mut body = body;
        let read = read_body(
            &mut body,
            RequestOrigin::Node,
            u64::MAX,
            &self.core.body_memory,
        );
        let body = match timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyReadError::Shortage { .. })) => return refuse_unread(body, &MEMORY_FULL),
            _ => return empty_response(StatusCode::BAD_REQUEST),
        };
        let request = self.inbound_request(head, body, &peer_header, caller, now);
        let mut response = match self.core.inbound.run(request, peer_header.idempotent).await {
            Ok(response) => response,
            Err(InboundError::Refused { refusal }) => refusal_response(&refusal),
            Err(InboundError::ResponseLost { reason, diagnosis }) => {
                failure_response(&reason, diagnosis.as_ref())
            }
        };
        self.add_load(&mut response, peer_header.route_hash);
        response
    }

    /// Says whether a request would be admitted that another node is about to send.
    fn preview(&self, incoming: &Request<Incoming>) -> Response<ResponseBody> {
        let headers = incoming.headers();
        let peer_header = header_text(headers, &PEER_ADMISSION_HEADER)
            .and_then(|text| text.parse::<PeerRequestHeader>().ok());
        let Some(peer_header) = peer_header else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let arrived = Instant::now();
        let now = self.core.clock.time_of(arrived);
        let ends_at = self
            .core
            .bound_peer_response(arrived + self.remaining(headers));
        let admission_request = AdmissionRequest {
            rank: peer_header.rank,
            route_hash: peer_header.route_hash,
            account: None,
            fingerprint: None,
            is_nested: peer_header.is_nested,
            may_wait: peer_header.may_wait,
            is_only_member: peer_header.is_only_member,
            target_deadline: now + peer_header.target_remaining,
            ends_at: self.core.clock.time_of(ends_at),
        };
        let instance = header_text(headers, &self.core.headers.expected_instance);
        let previewed = self.core.inbound.preview(admission_request, instance);
        let mut response = match previewed {
            Err(InboundError::Refused { refusal }) => refusal_response(&refusal),
            Ok(()) | Err(InboundError::ResponseLost { .. }) => empty_response(StatusCode::OK),
        };
        self.add_load(&mut response, peer_header.route_hash);
        response
    }

    /// Adds the load of the backend server to a response.
    ///
    /// Before the first report of a start this process knows no load and no limit. What the sender
    /// knows of the limit must outlive such a response.
    fn add_load(&self, response: &mut Response<ResponseBody>, route_hash: u64) {
        if self.core.inbound.current_start().is_none() {
            return;
        }
        let load = self.core.inbound.load(route_hash);
        set_header(response.headers_mut(), &PEER_LOAD_HEADER, &load.to_string());
    }

    /// Returns the time that a request has left; zero if it doesn't say.
    fn remaining(&self, headers: &HeaderMap) -> Duration {
        let remaining =
            header_text(headers, &self.core.headers.deadline_ms).and_then(|text| text.parse().ok());
        Duration::from_millis(remaining.unwrap_or(0))
    }

    fn inbound_request(
        &self,
        head: http::request::Parts,
        body: RequestBody,
        peer_header: &PeerRequestHeader,
        caller: PeerCaller,
        now: Instant,
    ) -> InboundRequest {
        let header_names = &self.core.headers;
        let remaining = self.remaining(&head.headers);
        let instance =
            header_text(&head.headers, &header_names.expected_instance).map(ToOwned::to_owned);
        let completions = parse_header(&head.headers, &PEER_COMPLETIONS_HEADER);
        let mut headers = head.headers;
        strip_connection_headers(&mut headers);
        if self.core.has_accounts() {
            headers.remove(header::AUTHORIZATION);
            headers.remove(&header_names.account);
        }
        let fingerprint = request_fingerprint(&head.method, &head.uri, &headers, &body);
        InboundRequest {
            sender: Some(peer_header.from),
            fingerprint,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            account: caller.account,
            valid_until: caller.valid_until,
            rank: peer_header.rank,
            route_hash: peer_header.route_hash,
            is_nested: peer_header.is_nested,
            may_wait: peer_header.may_wait,
            is_only_member: peer_header.is_only_member,
            arrived: now,
            target_deadline: now + peer_header.target_remaining,
            ends_at: self.core.bound_peer_response(now + remaining),
            instance,
            limit_hint: peer_header.limit,
            completions,
        }
    }
}

/// Refuses a request whose body wasn't read to its end.
///
/// If the connection closed before the sender has sent the body, the refusal could be lost, and the
/// sender would have to assume that the request ran.
fn refuse_unread(body: Incoming, refusal: &InboundRefusal) -> Response<ResponseBody> {
    if !body.is_end_stream() {
        spawn_local(discard_body(body));
    }
    refusal_response(refusal)
}

/// Reads a body without keeping it.
async fn discard_body(mut body: Incoming) {
    let discarded = async { while let Some(Ok(_)) = body.frame().await {} };
    let _timed_out = timeout(BODY_TIMEOUT, discarded).await;
}

fn refusal_response(refusal: &InboundRefusal) -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    set_header(
        response.headers_mut(),
        &PEER_REFUSAL_HEADER,
        &refusal.to_string(),
    );
    response
}

fn failure_response(reason: &str, diagnosis: Option<&BreakDiagnosis>) -> Response<ResponseBody> {
    let mut response = empty_response(StatusCode::BAD_GATEWAY);
    let reason = if reason.is_empty() { "unknown" } else { reason };
    set_header(response.headers_mut(), &PEER_FAILURE_HEADER, reason);
    if let Some(Ok(diagnosis)) = diagnosis.map(serde_json::to_string) {
        set_header(response.headers_mut(), &PEER_DIAGNOSIS_HEADER, &diagnosis);
    }
    response
}
