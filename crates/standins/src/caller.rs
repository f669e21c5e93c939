//! What callers send, and how they read answers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;

/// Host that callers name.
pub const CALLER_HOST: &str = "till.example";

/// A caller's attempt at a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerCall {
    /// Identifier of the attempt.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Time for which the caller waits.
    pub deadline: Duration,
    /// Body.
    pub body: String,
}

impl CallerCall {
    /// Makes the HTTP request.
    ///
    /// # Panics
    ///
    /// Panics when path or identifier can't stand in a request.
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
        request.body(body).expect("path and identifier are sound")
    }
}

/// The head of an answer, as a caller reads it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerAnswer {
    /// Status.
    pub status: StatusCode,
    /// Identifier that it names.
    pub id: Option<String>,
    /// Whether it bears a backend server's signature.
    pub signed: bool,
    /// Advice on when to come back, in seconds.
    pub retry_after: Option<f64>,
}

impl CallerAnswer {
    /// Reads the head of an answer.
    pub fn read(status: StatusCode, headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        Self {
            status,
            id: text("x-geraniumspring-request-id").map(ToOwned::to_owned),
            signed: text("x-geraniumspring-response-signature").is_some(),
            retry_after: text("retry-after").and_then(|text| text.parse().ok()),
        }
    }

    /// Whether it promises that the request hasn't run and won't.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}
