//! Reads short messages whole.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;

/// Why a message wasn't read.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The message is longer than its limit.
    #[snafu(display("the message is too long"))]
    TooLong,
    /// The connection broke.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
}

/// Reads the whole body of a message with at most `max_bytes` bytes.
///
/// The bytes are copied, so that a message in many small chunks takes no more memory than its bytes.
///
/// # Errors
///
/// Returns an error if the message is longer, without reading it if its length is announced, or if
/// the connection breaks.
pub async fn read_message(mut body: Incoming, max_bytes: usize) -> Result<Bytes, MessageError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(MessageError::TooLong);
    }
    let mut message = BytesMut::new();
    while let Some(frame) = body.frame().await.transpose()? {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if message.len() + bytes.len() > max_bytes {
            return Err(MessageError::TooLong);
        }
        message.extend_from_slice(&bytes);
    }
    Ok(message.freeze())
}
