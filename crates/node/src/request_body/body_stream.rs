//! Body of a request that is being sent.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::RequestBody;

/// Body of a request that is being sent, one segment after the other.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use geranium_node::request_body::{BodyStream, RequestBody};
/// use hyper::body::Body;
///
/// let stream = RequestBody::from(Bytes::from("fish")).stream();
/// assert_eq!(stream.size_hint().exact(), Some(4));
/// assert!(BodyStream::default().is_end_stream());
/// ```
#[derive(Debug, Default)]
pub struct BodyStream {
    body: RequestBody,
    /// Index of the next segment.
    next: usize,
    sent_bytes: u64,
}

impl BodyStream {
    pub(super) const fn new(body: RequestBody) -> Self {
        Self {
            body,
            next: 0,
            sent_bytes: 0,
        }
    }
}

impl Body for BodyStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(segment) = self.body.segment(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.sent_bytes += segment.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_bytes == self.body.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.body.len() - self.sent_bytes)
    }
}

impl From<Bytes> for BodyStream {
    fn from(bytes: Bytes) -> Self {
        Self::new(RequestBody::from(bytes))
    }
}
