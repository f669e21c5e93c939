//! Start of a body that is read before its head is passed on.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Start of a body, which may be all of it.
#[derive(Debug)]
pub(super) enum BodyStart {
    /// The body has ended.
    Whole(Bytes),
    /// The body goes on.
    Partial {
        /// Bytes that have arrived.
        bytes: Bytes,
        /// Body without these bytes.
        rest: Incoming,
    },
}

impl BodyStart {
    /// Reads a body until it ends or more than `max_bytes` have arrived.
    ///
    /// Trailers are dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of a body that breaks before.
    pub(super) async fn read(mut body: Incoming, max_bytes: usize) -> Result<Self, hyper::Error> {
        let mut bytes = BytesMut::new();
        while bytes.len() <= max_bytes {
            match body.frame().await.transpose()? {
                Some(frame) => bytes.extend(frame.into_data().ok()),
                None => return Ok(Self::Whole(bytes.freeze())),
            }
        }
        let bytes = bytes.freeze();
        Ok(Self::Partial { bytes, rest: body })
    }
}
