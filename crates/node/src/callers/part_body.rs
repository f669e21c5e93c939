//! Bodies of answers towards callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

/// The answer broke off.
///
/// `hyper` then closes the connection without the closing chunk or with fewer
/// bytes than announced, so the caller's library reports an error instead of a
/// short body.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the answer broke off"))]
pub struct BodyBroken;

/// A body that is at hand, or arrives in parts.
#[derive(Debug)]
pub enum PartBody {
    /// All of it, once.
    Whole(Option<Bytes>),
    /// Parts from a task that fetches them, and the length if it is known.
    Parts(mpsc::Receiver<Result<Bytes, BodyBroken>>, Option<u64>),
}

impl PartBody {
    /// Wraps bytes at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for PartBody {
    type Data = Bytes;
    type Error = BodyBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts, left) => {
                let part = std::task::ready!(parts.poll_recv(context));
                if let (Some(Ok(bytes)), Some(left)) = (&part, left.as_mut()) {
                    *left = left.saturating_sub(bytes.len() as u64);
                }
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Parts(_, left) => *left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Parts(_, Some(left)) => SizeHint::with_exact(*left),
            Self::Parts(_, None) => SizeHint::default(),
        }
    }
}
