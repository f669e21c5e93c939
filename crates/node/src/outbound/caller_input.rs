//! Reads the body of callers' requests.

use http::StatusCode;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::LocalReply;
use crate::{
    config::MeshConfig,
    request_body::{BodyReadError, RequestBody, read_body},
    result_code::ResultCode,
};

/// Reads the whole body of a request.
///
/// If the body exceeds the configured limit, can't be read, or isn't complete at `ends_at`,
/// the error is the reply to the caller.
pub(super) async fn read_caller_body(
    body: Incoming,
    config: &MeshConfig,
    ends_at: Instant,
) -> Result<RequestBody, LocalReply> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let max_bytes = config.limits.max_body_bytes as u64;
    match timeout_at(ends_at, read_body(body, max_bytes)).await {
        Ok(read) => read.map_err(|error| reply_to(&error)),
        Err(_elapsed) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(LocalReply::rejected(ResultCode::RequestTimeout, status))
        }
    }
}

/// Returns the reply to a request whose body wasn't read.
const fn reply_to(error: &BodyReadError) -> LocalReply {
    match error {
        BodyReadError::TooLong => {
            LocalReply::rejected(ResultCode::BodyTooLarge, StatusCode::PAYLOAD_TOO_LARGE)
        }
        BodyReadError::Broken { .. } => {
            LocalReply::rejected(ResultCode::BadRequest, StatusCode::BAD_REQUEST)
        }
    }
}
