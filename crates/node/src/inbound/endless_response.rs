//! Bounds responses that the backend server doesn't end.

use http::{HeaderValue, Response};
use hyper::body::Body;
use tokio::time::Instant;

use super::InboundProxy;
use crate::{late_body::LateBody, response_body::ResponseBody};

impl InboundProxy {
    /// Bounds the body of a response that is passed on as it arrives.
    ///
    /// `ends_at` is the time at which the caller of the request gets a final response.
    pub(super) fn bound_stream(
        &self,
        response: Response<ResponseBody>,
        request_id: Option<&HeaderValue>,
        ends_at: Instant,
    ) -> Response<ResponseBody> {
        if !response.body().is_stream() {
            return response;
        }
        let request_id = request_id.and_then(|id| id.to_str().ok());
        let late_body = LateBody::new(
            request_id.unwrap_or_default(),
            self.notice_reporter.endless_body_reporter(),
            ends_at,
            response.body().size_hint().exact(),
        );
        response.map(|body| body.with_late_body(late_body))
    }
}
