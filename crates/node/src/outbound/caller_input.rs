//! Reads the body of callers' requests.

use crate::result_code::ResultCode;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::LocalReply;
use crate::config::MeshConfig;

/// Reads the whole body of a request.
///
/// If the body exceeds the configured limit, can't be read, or isn't complete at `ends_at`,
/// the error is the reply to the caller. A body whose announced length exceeds the limit isn't read.
pub(super) async fn read_body(
    body: Incoming,
    config: &MeshConfig,
    ends_at: Instant,
) -> Result<Bytes, LocalReply> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > config.limits.max_body_bytes as u64 {
        return Err(too_large());
    }
    let limited = Limited::new(body, config.limits.max_body_bytes);
    match timeout_at(ends_at, limited.collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            Err(LocalReply::rejected(ResultCode::BadRequest, status))
        }
        Err(_elapsed) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(LocalReply::rejected(ResultCode::RequestTimeout, status))
        }
    }
}

fn too_large() -> LocalReply {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    LocalReply::rejected(ResultCode::BodyTooLarge, status)
}
