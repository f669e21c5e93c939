//! Reads the bodies of requests.

use std::{
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use snafu::Snafu;

use super::{ArrivingBody, BodyMemory, MemoryShortage, RequestBody};
use crate::request_origin::RequestOrigin;

/// Why the body of a request wasn't read.
#[derive(Debug, Snafu)]
pub enum BodyReadError {
    /// The body is longer than its limit.
    #[snafu(display("the body is too long"))]
    TooLong,
    /// There is no memory for the body, or it was taken away for another one.
    #[snafu(display("{source}"), context(false))]
    Shortage {
        /// Shortage of memory.
        source: MemoryShortage,
    },
    /// The body is malformed, or the connection broke.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
}

/// Reads the whole body of a request from `origin` with at most `max_bytes` bytes. Trailers are dropped.
///
/// # Errors
///
/// Returns an error if the body is longer, if there is no memory for it, or if it breaks. A body whose
/// announced length is too long or finds no memory isn't read.
pub async fn read_body(
    body: &mut Incoming,
    origin: RequestOrigin,
    max_bytes: u64,
    memory: &BodyMemory,
) -> Result<RequestBody, BodyReadError> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let announced = body.size_hint().lower();
    if announced > max_bytes {
        return Err(BodyReadError::TooLong);
    }
    let mut arriving = memory.begin(origin, announced)?;
    let mut length = 0;
    while let Some(frame) = poll_fn(|cx| poll_frame(body, &mut arriving, cx)).await? {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        length += bytes.len() as u64;
        if length > max_bytes {
            return Err(BodyReadError::TooLong);
        }
        arriving.append(&bytes)?;
    }
    Ok(arriving.finish()?)
}

/// Polls the next frame of a body, unless its memory was taken away.
fn poll_frame(
    body: &mut Incoming,
    arriving: &mut ArrivingBody,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Frame<Bytes>>, BodyReadError>> {
    if arriving.poll_evicted(cx).is_ready() {
        return Poll::Ready(Err(MemoryShortage.into()));
    }
    let frame = ready!(Pin::new(body).poll_frame(cx));
    Poll::Ready(frame.transpose().map_err(BodyReadError::from))
}
