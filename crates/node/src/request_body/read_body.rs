//! Reads the bodies of requests.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

use super::{BodySegments, RequestBody};

/// Why the body of a request wasn't read.
#[derive(Debug, Snafu)]
pub enum BodyReadError {
    /// The body is longer than its limit.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// The body is malformed, or the connection broke.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
}

/// Reads the whole body of a request with at most `max_bytes` bytes. Trailers are dropped.
///
/// # Errors
///
/// Returns an error if the body is longer, without reading it if its length is announced, or if it
/// breaks.
pub async fn read_body(mut body: Incoming, max_bytes: u64) -> Result<RequestBody, BodyReadError> {
    if body.size_hint().lower() > max_bytes {
        return Err(BodyReadError::TooLong);
    }
    let mut segments = BodySegments::default();
    while let Some(frame) = body.frame().await.transpose()? {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if (segments.len() + bytes.len()) as u64 > max_bytes {
            return Err(BodyReadError::TooLong);
        }
        segments.push(&bytes);
    }
    Ok(segments.into())
}
