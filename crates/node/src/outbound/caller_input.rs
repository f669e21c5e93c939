//! Reads the body of callers' requests.

use std::time::Duration;

use http::StatusCode;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::LocalReply;
use crate::{
    config::MeshConfig,
    request_body::{BodyMemory, BodyReadError, RequestBody, read_body},
    request_origin::RequestOrigin,
    result_code::ResultCode,
};

/// `Retry-After` of a request whose body finds no memory. Memory is freed by the requests that run.
pub(crate) const RETRY_AFTER_MEMORY_FULL: Duration = Duration::from_millis(500);

/// Reads the whole body of a request.
///
/// If the body exceeds the configured limit, finds no memory, can't be read, or isn't complete at
/// `ends_at`, the error is the reply to the caller.
pub(super) async fn read_caller_body(
    body: &mut Incoming,
    config: &MeshConfig,
    memory: &BodyMemory,
    ends_at: Instant,
) -> Result<RequestBody, LocalReply> {
    let max_bytes = config.limits.max_body_bytes as u64;
    match timeout_at(
        ends_at,
        read_body(body, RequestOrigin::Caller, max_bytes, memory),
    )
    .await
    {
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
        BodyReadError::Shortage { .. } => {
            LocalReply::not_run(ResultCode::MemoryFull, RETRY_AFTER_MEMORY_FULL)
        }
        BodyReadError::Broken { .. } => {
            LocalReply::rejected(ResultCode::BadRequest, StatusCode::BAD_REQUEST)
        }
    }
}
