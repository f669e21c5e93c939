//! Requests as callers send them, and responses as callers read them.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

/// Value of the `Host` header in callers' requests.
pub const CALLER_HOST: &str = "till.example";

/// One attempt of a caller at a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Identifier of the attempt, sent in `x-geraniumspring-request-id`.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Time that the caller waits for a response, sent in
    /// `x-geraniumspring-deadline-ms`.
    pub deadline: Duration,
    /// Request body.
    pub body: String,
}

impl CallerRequest {
    /// Builds the HTTP request.
    ///
    /// # Panics
    ///
    /// Panics if the path or the identifier isn't valid in an HTTP request.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let request = Request::builder()
            .method(&self.method)
            .uri(&*self.path)
            .header(header::HOST, CALLER_HOST)
            .header("x-geraniumspring-request-id", &*self.id)
            .header(
                "x-geraniumspring-deadline-ms",
                HeaderValue::from(self.deadline.as_millis() as u64),
            );
        let body = Full::new(Bytes::from(self.body.clone()));
        request
            .body(body)
            .expect("the path and the identifier are valid")
    }
}

/// The head of a response, as a caller reads it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Request identifier in the response; `None` if the header is missing.
    pub id: Option<String>,
    /// Whether the response carries a backend server's signature.
    pub signed: bool,
    /// Seconds after which to retry, from `Retry-After`; `None` if missing or not a
    /// number.
    pub retry_after: Option<f64>,
}

impl CallerResponse {
    /// Reads the head of a response.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            status,
            id: text("x-geraniumspring-request-id").map(ToOwned::to_owned),
            signed: text("x-geraniumspring-response-signature").is_some(),
            retry_after: text("retry-after").and_then(|text| text.parse().ok()),
        }
    }

    /// Whether the status says that the request hasn't run and won't run.
    pub fn says_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}
