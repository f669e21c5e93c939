//! Reading of callers' request bodies.

use std::time::Duration;

use bytes::Bytes;
use geranium_model::ResultCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{body::Incoming, header::CONTENT_LENGTH, http::request::Parts};

use super::body_budget::{BodyBudget, BodyPermit};

/// Limits on one request's body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub bytes_max: usize,
    /// Time for the body to arrive.
    pub timeout: Duration,
}

/// A whole body, and the room that it takes.
#[derive(Debug)]
pub struct CallerBody {
    /// The bytes.
    pub bytes: Bytes,
    _permit: BodyPermit,
}

impl CallerBody {
    /// Reads a body whole.
    ///
    /// # Errors
    ///
    /// The numbered code to refuse the request with.
    pub async fn read(
        parts: &Parts,
        incoming: Incoming,
        limits: BodyLimits,
        budget: &BodyBudget,
    ) -> Result<Self, ResultCode> {
        let named = parts.headers.get(CONTENT_LENGTH);
        let named: Option<usize> = named.and_then(|value| value.to_str().ok()?.parse().ok());
        if named.is_some_and(|length| length > limits.bytes_max) {
            return Err(ResultCode::BodyTooLarge);
        }
        let chunked = parts.headers.contains_key(hyper::header::TRANSFER_ENCODING);
        let most = if chunked {
            limits.bytes_max
        } else {
            named.unwrap_or(0)
        };
        let permit = budget.reserve(most).ok_or(ResultCode::QueueFull)?;
        let collected = Limited::new(incoming, limits.bytes_max).collect();
        let bytes = match tokio::time::timeout(limits.timeout, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(ResultCode::BodyTooLarge);
            }
            Ok(Err(_)) => return Err(ResultCode::BadRequest),
            Err(_elapsed) => return Err(ResultCode::RequestTimeout),
        };
        Ok(Self {
            bytes,
            _permit: permit,
        })
    }
}
