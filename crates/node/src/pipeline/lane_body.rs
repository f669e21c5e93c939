//! Body of a response that a lane sends.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Buf;
use hyper::body::{Body, Frame, SizeHint};

use super::lane_state::LaneState;

/// Body of a response that a lane sends.
///
/// It tells the lane when `hyper` drops it, and isn't read while its connection holds
/// enough bytes behind the front response.
#[derive(Debug)]
pub(super) struct LaneBody<B> {
    body: B,
    end: BodyEnd,
}

/// Tells the lane that the body was dropped.
#[derive(Debug)]
struct BodyEnd(Rc<LaneState>);

impl Drop for BodyEnd {
    fn drop(&mut self) {
        self.0.record_body_end();
    }
}

impl<B> LaneBody<B> {
    pub const fn new(body: B, state: Rc<LaneState>) -> Self {
        let end = BodyEnd(state);
        Self { body, end }
    }
}

impl<B: Body + Unpin> Body for LaneBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        // The connection polls the lane again when it may go on.
        if !self.end.0.may_read_response() {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Buf::remaining);
            self.end.0.record_response(bytes);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
