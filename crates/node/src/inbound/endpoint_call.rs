//! The call to the backend server, and the checks of its response.

use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::{
    InboundError, InboundProxy, InboundRequest, RefusalReason, RunSlot,
    inbound_proxy::{
        IDLE_TIMEOUT_IDEMPOTENT, IDLE_TIMEOUT_NON_IDEMPOTENT, RETRY_OTHER_NODE_AFTER, refused,
        response_lost,
    },
};
use crate::{
    crash::CrashRecord,
    header_names::{header_text, set_header, strip_connection_headers, strip_peer_headers},
    member::EndpointStart,
    rate_limit::ExchangeTimes,
    request_body::BodyStream,
    response_body::{ResponseBody, is_short},
    transport::{ExchangeError, PooledConnection},
};

/// Marks a failure response of a run whose nested call was probably refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct NestedCallRefused;

impl InboundProxy {
    /// Runs a request on the backend server in a slot, and returns the checked response.
    pub(super) async fn call(
        &self,
        request: InboundRequest,
        idempotent: bool,
        mut slot: RunSlot,
        start: EndpointStart,
    ) -> Result<Response<ResponseBody>, InboundError> {
        let id = request.headers.get(&self.headers.request_id).cloned();
        let (fingerprint, evidence) = (request.fingerprint, request.completions);
        self.record_sent(&request, &slot);
        let outgoing = self.outgoing(request, start.instance());
        let idle_timeout = if idempotent {
            IDLE_TIMEOUT_IDEMPOTENT
        } else {
            IDLE_TIMEOUT_NON_IDEMPOTENT
        };
        let addr = self.settings.endpoint;
        let began = self.inner.clock.now();
        let exchange = self
            .inner
            .endpoint_pool
            .exchange(addr, outgoing, idle_timeout)
            .await;
        let (mut response, sender) = match exchange {
            Ok(received) => received,
            Err(ExchangeError::NotSent { .. } | ExchangeError::Refused { .. }) => {
                return refused(RefusalReason::EndpointDown, RETRY_OTHER_NODE_AFTER);
            }
            Err(ExchangeError::ResponseLost { reason }) => {
                // The backend server's slot is free, whatever the diagnosis.
                drop(slot);
                let completions = self.crashes.borrow().completions(fingerprint, evidence);
                let record = CrashRecord {
                    fingerprint,
                    start,
                    completions,
                };
                let now = self.inner.clock.now();
                let diagnosis = self.broken.push(now, began, record).await.ok();
                return Err(InboundError::ResponseLost { reason, diagnosis });
            }
        };
        let times = ExchangeTimes {
            sent_at: began,
            received_at: self.inner.clock.now(),
        };
        self.check_response(&response, id.as_ref(), &start, times, &mut slot)?;
        if response.status().is_server_error() {
            let now = self.inner.clock.now();
            let mut detector = self.nested_call_detector.borrow_mut();
            if detector.record_failed_run(now) {
                response.extensions_mut().insert(NestedCallRefused);
            }
        }
        deliver(response, slot, sender).await
    }

    fn outgoing(&self, request: InboundRequest, instance: &str) -> Request<BodyStream> {
        let mut headers = request.headers;
        strip_peer_headers(&mut headers);
        let remaining = request.ends_at.saturating_duration_since(Instant::now());
        headers.insert(
            &self.headers.deadline_ms,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        set_header(&mut headers, &self.headers.expected_instance, instance);
        if let Some(account) = &request.account {
            headers.insert(&self.headers.account, account.header_value.clone());
        }
        let mut outgoing = Request::new(request.body.stream());
        *outgoing.method_mut() = request.method;
        *outgoing.uri_mut() = request.uri;
        *outgoing.headers_mut() = headers;
        outgoing
    }

    /// Rejects refusals, responses to other requests, and responses without a signature or
    /// with an encoded body.
    fn check_response(
        &self,
        response: &Response<Incoming>,
        id: Option<&HeaderValue>,
        start: &EndpointStart,
        times: ExchangeTimes,
        slot: &mut RunSlot,
    ) -> Result<(), InboundError> {
        let headers = response.headers();
        let status = response.status();
        if id.is_some() && headers.get(&self.headers.request_id) != id {
            // The response belongs to an earlier request; it came late or twice.
            return response_lost("the answer names another request");
        }
        if status.is_informational() {
            return response_lost("the status isn't final");
        }
        if status == StatusCode::MISDIRECTED_REQUEST {
            if let Some(actual) = header_text(headers, &self.headers.instance) {
                let now = self.inner.clock.now();
                if let Some(ended) = self.tracker.borrow_mut().record_instance(actual) {
                    self.broken.record_replacement(now, &ended, actual);
                }
            }
            return refused(RefusalReason::OtherInstance, RETRY_OTHER_NODE_AFTER);
        }
        self.broken.record_response(start, times.sent_at);
        self.record_notice(start, headers, times);
        self.record_server_load(start, headers, slot);
        if headers.contains_key(&self.headers.not_executed) {
            return refused(RefusalReason::EndpointRefused, RETRY_OTHER_NODE_AFTER);
        }
        if status.is_success() && !headers.contains_key(&self.headers.signature) {
            return response_lost("the answer has no signature");
        }
        if headers.contains_key(header::CONTENT_ENCODING) {
            return response_lost("the answer is encoded");
        }
        Ok(())
    }
}

/// Passes a response on. A short one is read completely first; a long one is passed on as it
/// arrives.
async fn deliver(
    response: Response<Incoming>,
    mut slot: RunSlot,
    sender: PooledConnection,
) -> Result<Response<ResponseBody>, InboundError> {
    let (mut head, body) = response.into_parts();
    strip_connection_headers(&mut head.headers);
    strip_peer_headers(&mut head.headers);
    slot.hold_connection(sender);
    if !is_short(&body) {
        slot.release();
        return Ok(Response::from_parts(
            head,
            ResponseBody::stream(body).with_slot(slot),
        ));
    }
    match body.collect().await {
        Ok(whole) => {
            slot.complete();
            Ok(Response::from_parts(
                head,
                ResponseBody::whole(whole.to_bytes()),
            ))
        }
        Err(error) => response_lost(error.to_string()),
    }
}
