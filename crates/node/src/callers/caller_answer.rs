//! Answers towards callers.

use geranium_model::{Outcome, PresetVersion, ResultCode, headers};
use hyper::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
};

use super::part_body::PartBody;
use crate::wire::{AnswerHead, Refusal};

/// What every answer says besides its content.
#[derive(Debug, Clone)]
pub struct AnswerMarks {
    /// Identifier of the request.
    pub request_id: String,
    /// Version of the preset it was routed by.
    pub version: PresetVersion,
    /// Instance whose backend server was asked last.
    pub served_by: Option<String>,
    /// This node leaves: the caller should open its next connection elsewhere.
    pub leaving: bool,
}

/// Makes the answer to a request that a node refused or ended.
pub fn refused(refusal: Refusal, marks: &AnswerMarks) -> Response<PartBody> {
    let status =
        StatusCode::from_u16(refusal.code.http_status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let text = format!(
        "{{\"code\":{},\"name\":\"{}\",\"outcome\":\"{}\",\"retry_after_ms\":{}}}\n",
        refusal.code.number(),
        refusal.code,
        refusal.outcome,
        refusal.retry_after_ms,
    );
    let mut response = Response::new(PartBody::whole(text));
    *response.status_mut() = status;
    let map = response.headers_mut();
    map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if refusal.retry_after_ms > 0 {
        // The header counts whole seconds; the body is exact.
        map.insert(RETRY_AFTER, refusal.retry_after_ms.div_ceil(1_000).into());
    }
    mark(&mut response, refusal.outcome, refusal.code, marks);
    response
}

/// Makes the answer that passes on a backend server's.
pub fn passed_on(head: &AnswerHead, body: PartBody, marks: &AnswerMarks) -> Response<PartBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let map = response.headers_mut();
    for pair in &head.headers {
        let name = HeaderName::from_bytes(pair.name.as_bytes());
        let value = HeaderValue::from_bytes(&pair.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    if head.replayed {
        map.insert(headers::REPLAYED, HeaderValue::from_static("true"));
    }
    mark(&mut response, Outcome::Ran, ResultCode::Ok, marks);
    response
}

fn mark(
    response: &mut Response<PartBody>,
    outcome: Outcome,
    code: ResultCode,
    marks: &AnswerMarks,
) {
    let map = response.headers_mut();
    map.insert(headers::OUTCOME, HeaderValue::from_static(outcome.into()));
    map.insert(headers::RESULT_CODE, code.number().into());
    map.insert(headers::PRESET_VERSION, marks.version.get().into());
    if let Ok(value) = HeaderValue::from_str(&marks.request_id) {
        map.insert(headers::REQUEST_ID, value);
    }
    let served_by = marks
        .served_by
        .as_deref()
        .and_then(|name| HeaderValue::from_str(name).ok());
    if let Some(value) = served_by {
        map.insert(headers::SERVED_BY, value);
    }
    if marks.leaving {
        map.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
