//! Answers that a node gives of its own.

use std::time::Duration;

use crate::result_code::ResultCode;
use http::{HeaderValue, Response, StatusCode, header};

use crate::response_body::ResponseBody;

/// An answer that a node gives of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    /// Numbered reason.
    pub code: ResultCode,
    /// Status.
    pub status: StatusCode,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// The request hasn't run and won't; the caller may come back.
    pub const fn not_run(code: ResultCode, retry_after: Duration) -> Self {
        Self {
            code,
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run.
    pub const fn maybe_run(code: ResultCode) -> Self {
        Self {
            code,
            status: StatusCode::BAD_GATEWAY,
            retry_after: None,
        }
    }

    /// Time ran out, and the request may have run.
    pub const fn timed_out() -> Self {
        Self {
            code: ResultCode::DeadlineWhileRunning,
            status: StatusCode::GATEWAY_TIMEOUT,
            retry_after: None,
        }
    }

    /// The request itself is at fault.
    pub const fn rejected(code: ResultCode, status: StatusCode) -> Self {
        Self {
            code,
            status,
            retry_after: None,
        }
    }

    /// Makes the HTTP answer.
    pub fn into_response(self) -> Response<ResponseBody> {
        let name: &'static str = self.code.into();
        let text = format!("{{\"code\":{},\"error\":\"{name}\"}}", self.code.number());
        let mut response = Response::new(ResponseBody::whole(text));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
