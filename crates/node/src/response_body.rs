//! Bodies of answers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;

use crate::{
    inbound::RunSlot, link::LinkReservation, node_core::OpenRequestGuard, outbound::InFlightGuard,
};

#[derive(Debug)]
enum BodySource {
    Whole(Option<Bytes>),
    Stream {
        incoming: Incoming,
        /// What was read and has not had its turn on the link.
        rest: Bytes,
    },
}

/// Body of an answer, with what is held until its end.
///
/// A stream that breaks ends with an error, upon which the server closes the
/// connection: a broken answer never looks complete.
#[derive(Debug)]
pub struct ResponseBody {
    source: BodySource,
    slot: Option<RunSlot>,
    guard: Option<InFlightGuard>,
    open: Option<OpenRequestGuard>,
    reservation: Option<LinkReservation>,
}

/// Longest answer that counts as short: it is read whole before its head is passed
/// on, so that a break in it is known while another try is still possible. Longer
/// ones cost memory, fill links, and are passed on as they come.
pub const SHORT_RESPONSE_MAX_BYTES: u64 = 32 * 1024;

/// Whether a body is known to be short.
pub fn is_short(body: &impl Body) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= SHORT_RESPONSE_MAX_BYTES)
}

/// Makes an answer that says nothing but its status.
///
/// # Examples
///
/// ```
/// use geranium_node::response_body::empty_response;
/// use http::StatusCode;
///
/// let answer = empty_response(StatusCode::BAD_REQUEST);
/// assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
/// ```
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Makes an answer of a value in JSON.
///
/// # Errors
///
/// When the value can't be written so.
///
/// # Examples
///
/// ```
/// use geranium_node::response_body::json_response;
/// use http::StatusCode;
///
/// let answer = json_response(&[1, 2])?;
/// assert_eq!(answer.status(), StatusCode::OK);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn json_response(value: &impl Serialize) -> Result<Response<ResponseBody>, serde_json::Error> {
    let text = serde_json::to_vec(value)?;
    let mut response = Response::new(ResponseBody::whole(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

impl ResponseBody {
    /// Makes a body that is there in full.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::from_source(BodySource::Whole(Some(bytes.into())))
    }

    /// Makes a body that passes on what comes in.
    pub fn stream(incoming: Incoming) -> Self {
        let rest = Bytes::new();
        Self::from_source(BodySource::Stream { incoming, rest })
    }

    /// Holds a slot of the backend server until the end.
    #[must_use]
    pub fn with_slot(mut self, slot: RunSlot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Holds the note of an open request until the end.
    #[must_use]
    pub fn with_in_flight_guard(mut self, guard: InFlightGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Sends what is long as the link's promise says.
    #[must_use]
    pub fn with_reservation(mut self, reservation: Option<LinkReservation>) -> Self {
        self.reservation = reservation;
        let bytes = self.size_hint().exact();
        if let Some(reservation) = &mut self.reservation {
            reservation.response_ready(bytes);
        }
        self
    }

    /// Counts the request as open until the end.
    #[must_use]
    pub fn with_open_request_guard(mut self, open: OpenRequestGuard) -> Self {
        self.open = Some(open);
        self
    }

    const fn from_source(source: BodySource) -> Self {
        Self {
            source,
            slot: None,
            guard: None,
            open: None,
            reservation: None,
        }
    }

    /// Counts bytes that go out.
    fn count(&mut self, bytes: usize) {
        match (&mut self.reservation, &self.open) {
            (Some(reservation), _) => reservation.record_sent(bytes as u64),
            (None, Some(open)) => open.sent_short_body(bytes as u64),
            (None, None) => {}
        }
    }

    /// Hands on what comes in, a piece at a time where the link's turns are
    /// waited for.
    fn poll_stream(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let BodySource::Stream { incoming, rest } = &mut self.source else {
            return Poll::Ready(None);
        };
        if rest.is_empty() {
            match ready!(Pin::new(incoming).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => *rest = data,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                ended => return Poll::Ready(ended),
            }
        }
        let piece = match &mut self.reservation {
            Some(reservation) => ready!(reservation.poll_turn(cx)),
            None => rest.len(),
        };
        let piece = rest.split_to(piece.min(rest.len()));
        self.count(piece.len());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn finish(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.complete();
        }
        if let Some(guard) = self.guard.take() {
            guard.complete();
        }
        if let Some(reservation) = self.reservation.take() {
            reservation.complete();
        }
        self.open = None;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        if let BodySource::Whole(bytes) = &mut this.source {
            let bytes = bytes.take();
            this.count(bytes.as_ref().map_or(0, Bytes::len));
            this.finish();
            return Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))));
        }
        let polled = this.poll_stream(cx);
        // The server stops asking once the promised length is reached, so the
        // end has to be noticed with the last frame.
        let ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => this.is_end_stream(),
            _ => false,
        };
        if ended {
            this.finish();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Stream { incoming, rest } => rest.is_empty() && incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Stream { incoming, rest } => {
                let hint = incoming.size_hint();
                let read = rest.len() as u64;
                let mut whole = SizeHint::new();
                whole.set_lower(hint.lower() + read);
                if let Some(upper) = hint.upper() {
                    whole.set_upper(upper + read);
                }
                whole
            }
        }
    }
}
