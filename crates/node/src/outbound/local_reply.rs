//! Responses that the node itself generates.

use std::time::Duration;

use crate::result_code::ResultCode;
use http::{HeaderValue, Response, StatusCode, header};

use crate::response_body::ResponseBody;

/// `Retry-After` while the node can't tell whether a key is valid. A newer configuration, or a proof
/// that there is none, arrives within a few hundred milliseconds unless the store is lost.
pub(crate) const RETRY_AFTER_KEY_UNPROVEN: Duration = Duration::from_millis(500);

/// A response that the node itself generates in place of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    /// Result code that states the reason.
    pub code: ResultCode,
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Time after which the caller may retry, sent as `Retry-After`; none for no advice.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// Creates a 503 reply: the request won't run, and the caller may retry.
    pub const fn not_run(code: ResultCode, retry_after: Duration) -> Self {
        Self {
            code,
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a 429 reply: the account is over its quota, and the request won't run.
    pub const fn over_quota(retry_after: Duration) -> Self {
        Self {
            code: ResultCode::OverQuota,
            status: StatusCode::TOO_MANY_REQUESTS,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a 502 reply: the request may have run.
    pub const fn maybe_run(code: ResultCode) -> Self {
        Self {
            code,
            status: StatusCode::BAD_GATEWAY,
            retry_after: None,
        }
    }

    /// Creates a 504 reply: the time ran out, and the request may have run.
    pub const fn timed_out() -> Self {
        Self {
            code: ResultCode::DeadlineWhileRunning,
            status: StatusCode::GATEWAY_TIMEOUT,
            retry_after: None,
        }
    }

    /// Creates a 503 reply to a request whose key this node can't vouch for at present.
    pub const fn key_unproven() -> Self {
        Self::not_run(ResultCode::KeyUnproven, RETRY_AFTER_KEY_UNPROVEN)
    }

    /// Creates a 401 reply to a request without a valid key.
    pub const fn unauthorized() -> Self {
        Self::rejected(ResultCode::Unauthorized, StatusCode::UNAUTHORIZED)
    }

    /// Creates a reply to a request that is invalid and would be rejected again.
    ///
    /// The request has no route, or its body is malformed, late or too large. The reply
    /// advises no retry.
    pub const fn rejected(code: ResultCode, status: StatusCode) -> Self {
        Self {
            code,
            status,
            retry_after: None,
        }
    }

    /// Returns whether the reply guarantees that the request hasn't run and won't.
    pub fn guarantees_not_run(&self) -> bool {
        matches!(
            self.status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        )
    }

    /// Converts the reply to an HTTP response with a JSON body.
    pub fn into_response(self) -> Response<ResponseBody> {
        let name: &'static str = self.code.into();
        let text = format!("{{\"code\":{},\"error\":\"{name}\"}}", self.code.number());
        let mut response = Response::new(ResponseBody::whole(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
